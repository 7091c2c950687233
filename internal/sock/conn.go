package sock

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection whose Read returns io.EOF only if the peer has ended its side in order.
//
// The kernel reports that a connection was reset, or has timed out, to the first call that asks, and
// lets all later reads return the end of the stream. If a write asks first, a reader can't tell a
// body without a length that was cut off from a complete one.
type Conn struct {
	*net.TCPConn
	// silence is the time after which a peer that acknowledges nothing counts as dead; zero leaves
	// that to the kernel.
	silence time.Duration
	watched atomic.Bool
	// dead is set once the connection was closed because of silence.
	dead atomic.Bool

	// writes serialises writes, as the kernel does.
	writes   sync.Mutex
	writeErr error // of the first write that failed; guarded by writes
}

// watchedWrite is the size in bytes of a write from which on a peer may leave a part unread.
const watchedWrite = 8 << 10

// Checked returns c as a Conn if it is a TCP connection, and c itself otherwise. A peer that
// acknowledges nothing for the time silence counts as dead, if that is positive; c must have been
// opened by a dialer with the same time.
func Checked(c net.Conn, silence time.Duration) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	return &Conn{TCPConn: tcp, silence: silence}
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err == io.EOF {
		if reset := c.lostError(); reset != nil {
			err = reset
		}
	}
	return n, c.orTimeout("read", err)
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	if c.silence > 0 && len(p) > watchedWrite && c.watched.CompareAndSwap(false, true) {
		go c.watch()
	}
	c.writes.Lock()
	defer c.writes.Unlock()
	n, err := c.TCPConn.Write(p)
	err = c.orTimeout("write", err)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// ReadFrom hides that of TCPConn, which bypasses Write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// WriteTo hides that of TCPConn, which bypasses Read.
func (c *Conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, struct{ io.Reader }{c}) }

// orTimeout returns the error of a call on a connection that may have been closed because of silence.
func (c *Conn) orTimeout(op string, err error) error {
	if err == nil || !c.dead.Load() {
		return err
	}
	return c.opError(op, os.NewSyscallError(op, unix.ETIMEDOUT))
}

func (c *Conn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// tcpClose is the state of a connection that has ended in both directions, in the kernel's
// tcp_states.h.
const tcpClose = 7

// lostError returns why a connection was lost whose reads return the end of the stream; nil if the
// peer has ended its side in order.
//
// A connection that is open in one direction has not been lost. One that isn't may have been lost
// after its peer had ended its side: then the kernel reports EPIPE to the writer. The writer of a
// lost connection doesn't wait for the peer any more.
func (c *Conn) lostError() error {
	info, err := c.info()
	if err == nil && info.State != tcpClose {
		return nil
	}
	if err == nil {
		c.writes.Lock()
	} else if !c.writes.TryLock() {
		return nil // the state is unknown, and the writer may wait for a peer that reads later
	}
	defer c.writes.Unlock()
	var code syscall.Errno
	if !errors.As(c.writeErr, &code) || code == unix.EPIPE {
		return nil // a closed connection or a deadline takes no error from the kernel
	}
	return c.opError("read", os.NewSyscallError("read", code))
}

// info returns the kernel's state of the connection.
func (c *Conn) info() (*unix.TCPInfo, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return nil, err
	}
	if infoErr == nil && info.State == 0 {
		infoErr = unix.ENOTSUP
	}
	return info, infoErr
}

func (c *Conn) setUserTimeout(limit time.Duration) {
	raw, err := c.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { setUserTimeout(int(fd), limit) })
	}
}
