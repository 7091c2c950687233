package fault

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/gravitational/trace"
)

// Step is the step of processing at which an error occurred.
type Step string

// Steps of processing.
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
	// Code is the entry of the catalogue.
	Code *Code
	// Step is the step of processing at which the error occurred.
	Step Step
	// Peer is the process, server or person at the other end; empty if there is none.
	Peer string
	// Detail describes the error for the recipient.
	Detail string
	// RetryAfter is the suggested delay before a retry; zero if there is none.
	RetryAfter time.Duration
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an error of code c that occurred in step at peer.
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

// Error returns the code, step, peer and detail in one line.
func (e *Error) Error() string {
	at := string(e.Step)
	if e.Peer != "" {
		at += " at " + e.Peer
	}
	return fmt.Sprintf("%s (%s): %s", e.Code.ID, at, e.Detail)
}

// Unwrap returns the underlying error, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// LogValue returns the code, step, peer and detail as attributes.
func (e *Error) LogValue() slog.Value {
	return slog.GroupValue(
		slog.String("code", e.Code.ID), slog.String("step", string(e.Step)),
		slog.String("peer", e.Peer), slog.String("detail", e.Detail))
}

// From returns the Error that err wraps. If there is none, it returns one with code
// Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Detail: err.Error(), Cause: err}
}

// Is reports whether err has code c.
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
