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

	"github.com/ledgepin/ledgepin/internal/sock"
)

// Times of connections.
const (
	// DialTimeout bounds the opening of a connection; servers are some
	// milliseconds away.
	DialTimeout = 300 * time.Millisecond
	// userTimeout is how long sent bytes may stay without an answer of the
	// other side's kernel before the connection counts as broken.
	userTimeout = 1500 * time.Millisecond
	// defaultIdleTTL is how long an idle connection is kept if the server does not
	// say how long it keeps it.
	defaultIdleTTL = 800 * time.Millisecond
	// idleMargin is taken off the server's Keep-Alive, so that the server never
	// closes a connection on which a request is on its way.
	idleMargin = 700 * time.Millisecond
	readBuffer = 8 << 10
)

// conn is one connection; it carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleUntil is when the connection must not be used any more.
	idleUntil time.Time
	// requestIDs are the IDs of its requests. A server may answer one of them a second
	// time, late, where the answer to the newest is due: only another ID tells them
	// apart. By the late refusal of one send a run was taken for another, and its caller
	// got 88 of 200 events twice.
	requestIDs []string
	// noReuse tells that the connection is not kept.
	noReuse bool
	// sentCall tells that it has carried a call without an ID, whose late second answer names
	// nothing either. Only requests with IDs follow, so that it can be told and passed over.
	sentCall bool
}

// maxRequestIDs bounds the IDs that a connection remembers; after as many requests another
// one is opened, which one in 64 requests pays for.
const maxRequestIDs = 64

// canCarry tells whether a request's answer can be told from those to all before it.
func (c *conn) canCarry(r *Request) bool {
	return !r.needsUnused() && len(c.requestIDs) < maxRequestIDs && !slices.Contains(c.requestIDs, r.ID)
}

var dialer = sock.Dialer(DialTimeout, userTimeout)

func dial(ctx context.Context, address string) (*conn, error) {
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// isQuiet tells whether nothing has arrived on an idle connection: neither its
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

// resetTime is how long a server that has too many connections needs to reset a
// new one.
const resetTime = 1500 * time.Microsecond

// wasAccepted tells whether a server keeps a new connection. A request that is sent
// on one that is reset may have run, as far as one can know; one that was not
// sent has not.
func (c *conn) wasAccepted() bool {
	time.Sleep(resetTime)
	return c.isQuiet()
}

// idleTTL returns how long a connection may rest after an answer; zero if it
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
