package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/internal/sock"
)

// Timeouts of connections.
const (
	// DialTimeout bounds the opening of a connection; servers are a few
	// milliseconds away.
	DialTimeout = 300 * time.Millisecond
	// maxDialTimeout bounds it while the gateway itself is slow.
	maxDialTimeout = 2 * time.Second
	// userTimeout is the time after which a connection counts as broken whose server acknowledges
	// nothing that was sent. A server may acknowledge bytes and read them later.
	userTimeout = 1500 * time.Millisecond
	// defaultIdleTTL is how long an idle connection is kept if the server does not
	// send a Keep-Alive time.
	defaultIdleTTL = 800 * time.Millisecond
	// idleMargin is subtracted from the server's Keep-Alive time, so that the server
	// never closes a connection on which a request is on its way.
	idleMargin = 700 * time.Millisecond
	readBuffer = 8 << 10
)

// abandon ends a request whose answer is no longer needed. The answer may still be read for a time
// if that is positive.
func (c *conn) abandon(linger time.Duration) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if linger <= 0 || !ok || half.CloseWrite() != nil {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(clock.Deadline(linger))
}

// conn is one connection; it carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// head counts the bytes of a head while one is read; nil otherwise.
	head *headLimit
	// idleUntil is the time from which the connection must not be used again.
	idleUntil time.Time
	// answeredAt is when its last answer was complete; zero if another exchange with the server
	// has failed since.
	answeredAt time.Time
	// requestIDs are the IDs of the requests sent so far. A server may answer one of them a
	// second time, late, where the answer to the newest request is due: only an ID that the
	// connection has not carried distinguishes them. A late refusal of one send was once
	// matched to another, and its caller received 88 of 200 events twice.
	requestIDs []string
	// noReuse reports that the connection is not kept.
	noReuse bool
	// repeatable is the number of answers to calls without an ID that may still come a second
	// time, late. Such an answer carries no ID either, so a request with an ID skips it.
	repeatable int
	// unidentified reports that the connection has carried a call whose answer had no identifier.
	// Only requests with IDs follow, since the answer to another call can't be distinguished from
	// a late second answer to that one.
	unidentified bool
	// calls are the calls whose answers had identifiers, by kind.
	calls []carriedCalls
}

// carriedCalls are the calls of one kind that a connection has carried, with the requests that
// they were sent for and the identifiers in their answers.
type carriedCalls struct {
	kind        string
	parse       func(body []byte) string
	requestIDs  []string
	identifiers []string
}

// maxRequestIDs bounds the IDs that a connection remembers; after as many requests it is
// replaced, so one request in 64 waits for a new connection to open.
const maxRequestIDs = 64

// canCarry reports whether the answer to r can be distinguished from all earlier ones.
func (c *conn) canCarry(r *Request) bool {
	if r.needsUnused() || len(c.requestIDs) >= maxRequestIDs {
		return false
	}
	if r.Identity == nil {
		return !slices.Contains(c.requestIDs, r.ID)
	}
	calls := c.callsOf(r.Identity.Kind)
	return !c.unidentified && (calls == nil || !slices.Contains(calls.requestIDs, r.Identity.RequestID))
}

// answeredWithin reports whether the last answer was complete within a time before now, and no
// other exchange with the server has failed since.
func (c *conn) answeredWithin(now time.Time, within time.Duration) bool {
	return !c.answeredAt.IsZero() && now.Sub(c.answeredAt) < within
}

// callsOf returns the calls of a kind that the connection has carried; nil if there are none.
func (c *conn) callsOf(kind string) *carriedCalls {
	for i := range c.calls {
		if c.calls[i].kind == kind {
			return &c.calls[i]
		}
	}
	return nil
}

// recordCall records a call and the identifier in its answer.
func (c *conn) recordCall(i *Identity, identifier string) {
	calls := c.callsOf(i.Kind)
	if calls == nil {
		c.calls = append(c.calls, carriedCalls{kind: i.Kind, parse: i.Parse})
		calls = &c.calls[len(c.calls)-1]
	}
	calls.requestIDs = append(calls.requestIDs, i.RequestID)
	calls.identifiers = append(calls.identifiers, identifier)
}

// hasCarried reports whether the body of an answer has an identifier that the connection has
// already carried, in an answer to a call of any kind.
func (c *conn) hasCarried(body []byte) bool {
	return slices.ContainsFunc(c.calls, func(calls carriedCalls) bool {
		return slices.Contains(calls.identifiers, calls.parse(body))
	})
}

var dialer = sock.Dialer(maxDialTimeout, userTimeout)

func dial(ctx context.Context, open sock.DialFunc, address string) (*conn, error) {
	raw, err := open(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: sock.Checked(raw, userTimeout)}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// isQuiet reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// resetTime is the time within which a server that has too many connections resets a
// new one.
const resetTime = 1500 * time.Microsecond

// wasAccepted reports whether a server keeps a new connection. A request sent on a connection
// that is then reset may have run; if it is not sent before this check, it can't have.
func (c *conn) wasAccepted() bool {
	time.Sleep(resetTime)
	return c.isQuiet()
}

// idleTTL returns how long a connection may be idle after an answer; zero if it
// must be closed.
func idleTTL(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	for _, field := range resp.Header.Values("Keep-Alive") {
		for _, part := range strings.Split(field, ",") {
			value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
			if !ok {
				continue
			}
			seconds, err := strconv.Atoi(value)
			if err != nil || seconds <= 0 {
				return 0
			}
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTTL
}
