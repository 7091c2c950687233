package sock

import (
	"fmt"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// busyListener returns the address of a listener whose queue is full, so that
// the kernel drops further packets that open a connection, and a function that
// empties the queue.
func busyListener(t *testing.T) (address string, empty func()) {
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
		if taken, _, err := unix.Accept(fd); err == nil {
			_ = unix.Close(taken)
		}
	}
}

// TestRedialer wants a connection opened though the first packet for it was
// dropped, well before the kernel sends another one.
func TestRedialer(t *testing.T) {
	address, empty := busyListener(t)
	const quick = 150 * time.Millisecond
	_, err := Redialer(time.Second, quick)(t.Context(), "tcp", address)
	assert.Assert(t, isTimeout(err), "one try: %v", err)
	time.AfterFunc(quick/2, empty)
	c, err := Redialer(time.Second, quick, 10*time.Second)(t.Context(), "tcp", address)
	assert.NilError(t, err)
	_ = c.Close()
}
