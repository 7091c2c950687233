package fault

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/gravitational/trace"
)

// Step names the part of the work in which an error arose.
type Step string

// The steps of the system.
const (
	StepAuth     Step = "auth"
	StepParse    Step = "parse"
	StepAdmit    Step = "admit"
	StepReserve  Step = "reserve"
	StepPrefill  Step = "prefill"
	StepTransfer Step = "transfer"
	StepDecode   Step = "decode"
	StepStream   Step = "stream"
	StepCancel   Step = "cancel"
	StepClaim    Step = "claim"
	StepCall     Step = "call"
	StepLink     Step = "link"
	StepSettings Step = "settings"
	StepJournal  Step = "journal"
	StepConfig   Step = "config"
	StepOrder    Step = "order"
)

// Error is an error with its code, step and peer.
type Error struct {
	// Code is the catalogue entry.
	Code *Code
	// Step is where in the work it arose.
	Step Step
	// Peer is the process, server or person at the other end; empty if none.
	Peer string
	// Detail says what was wrong, in words for the receiver.
	Detail string
	// RetryAfter tells the receiver when to come back; zero if not useful.
	RetryAfter time.Duration
	// Cause is the error below, or nil.
	Cause error
}

// New returns an error of code c that arose in step at peer.
func New(c *Code, step Step, peer, detail string) error {
	return trace.Wrap(&Error{Code: c, Step: step, Peer: peer, Detail: detail})
}

// Wrap returns an error of code c around cause; it returns nil if cause is nil.
func Wrap(cause error, c *Code, step Step, peer string) error {
	if cause == nil {
		return nil
	}
	return trace.Wrap(&Error{Code: c, Step: step, Peer: peer, Detail: cause.Error(), Cause: cause})
}

// Error returns one line: code, step, peer and detail.
func (e *Error) Error() string {
	at := string(e.Step)
	if e.Peer != "" {
		at += " at " + e.Peer
	}
	return fmt.Sprintf("%s (%s): %s", e.Code.ID, at, e.Detail)
}

// Unwrap returns the error below, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// LogValue gives the log the parts of the error as attributes.
func (e *Error) LogValue() slog.Value {
	return slog.GroupValue(
		slog.String("code", e.Code.ID), slog.String("step", string(e.Step)),
		slog.String("peer", e.Peer), slog.String("detail", e.Detail))
}

// From returns the Error within err. An error without one becomes Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Detail: err.Error(), Cause: err}
}

// Is tells whether err carries code c.
func Is(err error, c *Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == c
}

// WriteMarkdown writes the catalogue as a table of docs/API.md.
func WriteMarkdown(w io.Writer) error {
	if _, err := fmt.Fprint(w, "| code | status | not run | since | meaning |\n| --- | --- | --- | --- | --- |\n"); err != nil {
		return err
	}
	for _, c := range Catalogue() {
		if _, err := fmt.Fprintf(w, "| `%s` | %d | %t | %s | %s |\n", c.ID, c.Status, c.NotRun, c.Since, c.Text); err != nil {
			return err
		}
	}
	return nil
}
