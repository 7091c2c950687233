package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/metric"
)

// Request is one request to one server.
type Request struct {
	Address string
	Method  string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request ID that the answer must carry. A call without an ID and without an
	// Identity is always the first request on its connection.
	ID string
	// Identity describes the identifier in the answer to a call without an ID; nil if the answer
	// has none.
	Identity *Identity
	// MaxConnections bounds the connections of this pool to the server.
	MaxConnections int
	// Server is the incarnation of the server; its requests end with it (Pool.EndIncarnation).
	Server string
	// Admitted reports that the request was counted against the server's limit. Cleanup reports
	// that this request frees what the server keeps for one that has ended: it is sent
	// regardless of the limit, and counted later.
	Admitted, Cleanup bool
	// NewConnection requires a new connection, since a kept one may break in a way
	// that leaves it unknown whether the server has received the request.
	NewConnection bool
	// CleanWithin, if positive, allows a kept connection despite NewConnection if its last answer
	// is at most this old, no exchange with the server has failed since, and it is quiet.
	CleanWithin time.Duration
	// Linger is how long the answer is still read after the context has ended: it names what the
	// server had made by then. The connection is closed for writing at once, which notifies the
	// server that its work is no longer needed.
	Linger time.Duration
	// Remaining, if set, returns how long the server may work on the request from now on. The
	// field Deadline has its result at the time at which the request is written.
	Remaining func() time.Duration
	// Begun, if set, is set to true before the request is written.
	Begun *atomic.Bool
}

// Identity describes how the answer to a call is distinguished from late second answers to
// earlier calls on its connection: by an identifier that the server generates for each call.
type Identity struct {
	// Kind is the kind of the call, and RequestID the ID of the request that it is sent for. A
	// server may answer a second call of a kind for the same request with the identifier of the
	// first, so they use different connections.
	Kind, RequestID string
	// Parse returns the identifier in the body of an answer; empty if there is none.
	Parse func(body []byte) string
}

// needsUnused reports whether a request needs a connection that was not used before. A late
// answer to a call without an ID carries no ID. A late answer to another request would be
// parsed as the answer to a HEAD, which has no body.
func (r *Request) needsUnused() bool {
	return r.ID == "" && r.Identity == nil || r.Method == http.MethodHead
}

// Error is the error of a request that got no answer.
type Error struct {
	// Sent reports whether the server may have received the request.
	Sent bool
	// Refused reports that no connection could be opened.
	Refused bool
	Cause   error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return "backend: sent, but not answered: " + e.Cause.Error()
	}
	return "backend: not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WasSent reports whether err is that of a request which a server may have received and has
// not begun to answer.
func WasSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Sent
}

// WithheldByGateway reports whether the gateway itself did not send the request, so that err is
// no evidence about the server.
func WithheldByGateway(err error) bool {
	return errors.Is(err, ErrFull) || errors.Is(err, ErrLimited) || errors.Is(err, ErrPaused) || errors.Is(err, ErrEnded) || errors.Is(err, ErrInvalidHead)
}

// Answer is the answer of a server. Its body must be read to the end or
// closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes; negative if it is unknown.
	Length int64
	// Framed reports that the body marks its own end, by a length or by chunks. Another body
	// ends with its connection, whatever the reason.
	Framed bool
	// Unidentified reports that the answer to a call on a kept connection has no identifier, so
	// that it is not certain that the server sent it for this call.
	Unidentified bool

	pool     *Pool
	request  Request
	conn     *conn
	body     io.ReadCloser
	keep     time.Duration
	stop     func() bool
	written  chan struct{}
	once     sync.Once
	complete bool
	// skipped is the number of skipped answers to other requests.
	skipped int
}

// maxOtherAnswers bounds the skipped answers to other requests on one connection.
const maxOtherAnswers = 8

// Do sends a request once and returns the head of its answer. ctx bounds the complete
// exchange, including the body.
func (p *Pool) Do(ctx context.Context, headers *Headers, r Request) (*Answer, error) {
	if err := ctx.Err(); err != nil { // the server would work for no caller
		return nil, &Error{Cause: fmt.Errorf("%w: %w", ErrEnded, err)}
	}
	if err := r.checkHead(); err != nil {
		return nil, &Error{Cause: err}
	}
	if p.Admit != nil {
		if err := p.Admit(&r); err != nil {
			return nil, &Error{Cause: err}
		}
	}
	if r.Identity != nil && !p.identifiesCalls(r.Server) {
		r.Identity = nil
	}
	c, err := p.get(ctx, &r)
	if err != nil {
		return nil, &Error{Cause: err, Refused: !errors.Is(err, ErrFull)}
	}
	if r.Remaining != nil {
		remaining := r.Remaining()
		if remaining <= 0 {
			p.putUnused(r.Address, c)
			return nil, &Error{Cause: fmt.Errorf("%w: no time is left", ErrEnded)}
		}
		r.Header.Set(headers.Deadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	}
	connection := "kept"
	if len(c.requestIDs) == 0 {
		connection = "new"
	}
	metric.ServerRequests.WithLabelValues(r.kind(), connection).Inc()
	c.requestIDs = append(c.requestIDs, r.ID)
	p.markBusy(r.Server, c)
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetWriteDeadline(deadline)
		_ = c.SetReadDeadline(deadline.Add(r.Linger))
	}
	stop := context.AfterFunc(ctx, func() { c.abandon(r.Linger) })
	if r.Begun != nil {
		r.Begun.Store(true)
	}
	a := &Answer{pool: p, request: r, conn: c, stop: stop, written: make(chan struct{})}
	sent := clock.VM.Now()
	resp, err := a.exchange(headers)
	if err != nil {
		timedOut := isTimeout(err) && !errors.Is(ctx.Err(), context.Canceled) || errors.Is(ctx.Err(), context.DeadlineExceeded)
		if len(c.requestIDs) > 1 && timedOut {
			// All kept connections may be broken without a reset, while new ones work.
			p.CloseIdle(r.Address)
		}
		if r.Identity != nil && a.skipped > 0 {
			// The skipped answer may have been that to this call.
			p.recordUnidentified(r.Server)
		}
		p.suspect(r.Address)
		a.finish(false)
		return nil, &Error{Sent: true, Cause: err}
	}
	if p.OnAnswer != nil && resp.StatusCode != http.StatusMisdirectedRequest { // such an answer is from another server
		p.OnAnswer(r.Server, clock.VM.Since(sent), resp.StatusCode, resp.Header)
	}
	a.Status, a.Header, a.Length = resp.StatusCode, resp.Header, resp.ContentLength
	a.Framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	a.body, a.keep = resp.Body, idleTTL(resp)
	return a, nil
}

// isTimeout reports whether err is the timeout of a connection.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// smallBodyBytes is the size of a body that fits the windows of any connection, so that it
// can be written before the answer is read.
const smallBodyBytes = 8 << 10

func (a *Answer) exchange(headers *Headers) (*http.Response, error) {
	head := a.request.head()
	a.conn.noReuse = a.request.Method == http.MethodHead
	if len(a.request.Body) <= smallBodyBytes {
		close(a.written)
		if _, err := a.conn.Write(append(head, a.request.Body...)); err != nil {
			return nil, err
		}
		return a.read(headers)
	}
	go func() {
		// A server may answer before it has read a long body; then the write
		// ends with the connection.
		defer close(a.written)
		if _, err := a.conn.Write(head); err == nil {
			_, _ = a.conn.Write(a.request.Body)
		}
	}()
	return a.read(headers)
}

// errNoRequestID is the error of an answer without an ID from a server that sends IDs.
var errNoRequestID = errors.New("the answer carries no request ID")

// read returns the answer to this request and skips answers to other requests.
func (a *Answer) read(headers *Headers) (*http.Response, error) {
	request := &http.Request{Method: a.request.Method}
	skipped := int64(0)
	for range maxOtherAnswers {
		resp, err := a.conn.readHead(request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		id := resp.Header.Get(headers.RequestID)
		switch {
		case a.request.ID == "":
			if accepted, err := a.acceptCallAnswer(resp, id); accepted || err != nil {
				return resp, err
			}
		case len(a.conn.requestIDs) == 1 && id == "":
			// A late second answer would be indistinguishable from the next answer.
			a.conn.noReuse = true
			return resp, nil
		case id == "" && a.conn.repeatable > 0:
			// A late second answer to a call: all others of this server carry IDs.
			a.conn.repeatable--
		case id == "":
			// All earlier answers on this connection carried IDs, so the request of this one is
			// unknown. A "not run" that belonged to another request made a request run twice.
			return nil, errNoRequestID
		case id == a.request.ID:
			a.pool.recordEcho(a.request.Server)
			return resp, nil
		}
		a.skipped++
		a.conn.noReuse = true // answers are out of order
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes-skipped+1))
		if skipped += n; skipped > maxSkippedBytes {
			return nil, fmt.Errorf("%w: answers to other requests of more than %d bytes", ErrTooLong, maxSkippedBytes)
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: %d answers, none of them to this request", ErrTooLong, maxOtherAnswers)
}

// acceptCallAnswer reports whether an answer with the given request ID is taken for that to the
// call in progress.
func (a *Answer) acceptCallAnswer(resp *http.Response, id string) (bool, error) {
	c, identity := a.conn, a.request.Identity
	first := len(c.requestIDs) == 1
	if !first && id != "" {
		return false, nil // a request with an ID was sent before, and this is the answer to it
	}
	identifier := ""
	if identity != nil {
		body, err := io.ReadAll(io.LimitReader(resp.Body, MaxCallBytes+1))
		switch {
		case err != nil:
			return false, err
		case len(body) > MaxCallBytes:
			return false, fmt.Errorf("%w: the answer to a call of more than %d bytes", ErrTooLong, MaxCallBytes)
		case c.hasCarried(body):
			return false, nil
		}
		resp.Body = io.NopCloser(bytes.NewReader(body))
		identifier = identity.Parse(body)
	}
	// The next answer must be distinguishable from a late second answer to the call.
	c.repeatable++
	c.noReuse = c.noReuse || id != "" || !a.pool.echoesIDs(a.request.Server)
	if identifier != "" {
		c.recordCall(identity, identifier)
		return true, nil
	}
	c.unidentified = true
	c.noReuse = c.noReuse || !first
	a.Unidentified = !first
	return true, nil
}

// ErrInvalidHead means that a request was not sent because a text in its head holds a control
// character.
var ErrInvalidHead = errors.New("backend: a control character in the head of a request")

// checkHead returns an error if a text would end its line of the head. Some texts come from
// servers: their names, and those of what they keep for a request.
func (r *Request) checkHead() error {
	if i := strings.IndexFunc(r.Target, func(c rune) bool { return c <= ' ' || c == 0x7f }); i >= 0 {
		return fmt.Errorf("%w: request target %q", ErrInvalidHead, r.Target)
	}
	if !httpguts.ValidHeaderFieldValue(r.Host) {
		return fmt.Errorf("%w: host %q", ErrInvalidHead, r.Host)
	}
	for name, values := range r.Header {
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("%w: field %s", ErrInvalidHead, name)
			}
		}
	}
	return nil
}

// head returns the request line and the header fields.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	names := make([]string, 0, len(r.Header))
	for name := range r.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, value := range r.Header[name] {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Read reads the body. It returns io.EOF at the end of a complete body, and another error if
// the body was truncated.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		a.complete = true
		a.finish(true)
	case err != nil:
		a.pool.suspect(a.request.Address)
	}
	return n, err
}

// ReadAll reads a body of at most limit bytes.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	defer a.Close()
	var out bytes.Buffer
	if a.Length > 0 && a.Length <= limit {
		out.Grow(int(a.Length) + bytes.MinRead)
	}
	n, err := io.Copy(&out, io.LimitReader(a, limit+1))
	if err != nil {
		return nil, err
	}
	if n > limit {
		return nil, fmt.Errorf("%w: a body of more than %d bytes", ErrTooLong, limit)
	}
	return out.Bytes(), nil
}

// Close ends the exchange. A connection whose answer was not read to its end
// is closed, which notifies the server that its work is no longer needed.
func (a *Answer) Close() { a.finish(a.complete) }

// finish returns the connection to the pool, or closes it, once.
func (a *Answer) finish(complete bool) {
	a.once.Do(func() {
		a.pool.markIdle(a.request.Server, a.conn)
		notCancelled := a.stop()
		sent := false
		select {
		case <-a.written:
			sent = true
		default:
		}
		if complete && notCancelled && sent && !a.conn.noReuse && a.conn.reader.Buffered() == 0 {
			a.pool.put(a.request.Address, a.conn, a.keep)
			return
		}
		a.pool.drop(a.request.Address, a.conn)
	})
}
