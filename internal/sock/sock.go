// Package sock opens TCP connections on which a silent network shows within
// seconds. The kernel's own defaults are minutes.
package sock

import (
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

// setUserTimeout is a help and no promise, so that a kernel without the option
// is no failure.
func setUserTimeout(fd int, limit time.Duration) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
}
