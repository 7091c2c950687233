package sock

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// fullListener returns the address of a listener whose accept queue is full, so that the
// kernel drops further SYN packets, and a function that empties the queue.
func fullListener(t *testing.T) (address string, empty func()) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, unix.Listen(fd, 0))
	name, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	address = fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	queued, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = queued.Close() })
	return address, func() {
		if conn, _, err := unix.Accept(fd); err == nil {
			_ = unix.Close(conn)
		}
	}
}

// TestRedialerTimesOutThenConnects checks that a redialer returns an error at its timeout while
// the packets of all attempts are dropped, and a connection once one is accepted.
func TestRedialerTimesOutThenConnects(t *testing.T) {
	const every = 40 * time.Millisecond
	address, empty := fullListener(t)
	_, err := Redialer(time.Second, every, 3*every)(t.Context(), "tcp", address)
	var timeout net.Error
	assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "no attempt is accepted: %v", err)
	empty()
	c, err := Redialer(time.Second, every, 10*time.Second)(t.Context(), "tcp", address)
	assert.NilError(t, err)
	_ = c.Close()
}

// TestRedialerAttemptsRunConcurrently checks that a later attempt succeeds while earlier ones hang,
// and that connections which those open afterwards are closed.
func TestRedialerAttemptsRunConcurrently(t *testing.T) {
	slow, slowEnd := net.Pipe()
	var calls atomic.Int32
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		switch n := calls.Add(1); {
		case n == 3:
			c, _ := net.Pipe()
			return c, nil
		case n > 3: // started before the result of the third was received
			<-ctx.Done()
			return nil, ctx.Err()
		}
		<-ctx.Done()
		return slow, nil
	}
	c, err := redialer(dial, time.Millisecond, time.Minute)(t.Context(), "tcp", "")
	assert.NilError(t, err)
	_ = c.Close()
	_, err = slowEnd.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
}

// TestRedialerReturnsRefusalAtOnce checks that a refused connection is reported at once and
// that no attempt keeps running.
func TestRedialerReturnsRefusalAtOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	_, err = Redialer(time.Second, time.Hour, time.Hour)(t.Context(), "tcp", address)
	assert.Assert(t, errors.Is(err, unix.ECONNREFUSED), "%v", err)
	goleak.VerifyNone(t)
}
