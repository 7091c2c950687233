// Package sock opens TCP connections on which a silent network shows within
// seconds. The kernel's own defaults are minutes.
package sock

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer returns a dialer that gives up after timeout. Once open, a connection
// breaks if sent bytes stay unacknowledged for silence.
func Dialer(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:   timeout,
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { setUserTimeout(int(fd), silence) })
		},
	}
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Redialer returns a function that tries to open a connection anew each time
// that a timeout is over. A first packet may be lost, or meet a VM without power,
// and the kernel sends the next one only after a second; the later timeouts are
// for ways that are slow.
func Redialer(silence time.Duration, timeouts ...time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var last error
		for _, timeout := range timeouts {
			c, err := Dialer(timeout, silence).DialContext(ctx, network, address)
			if err == nil {
				return c, nil
			}
			last = err
			if ctx.Err() != nil || !isTimeout(err) {
				break
			}
		}
		return nil, last
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// setUserTimeout is a help and no promise, so that a kernel without the option
// is no failure.
func setUserTimeout(fd int, limit time.Duration) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
}
