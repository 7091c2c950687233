// Package sock opens TCP connections on which a silent network shows within
// seconds. The kernel's own defaults are minutes.
package sock

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer returns a dialer that gives up after timeout. Once open, a connection
// breaks if sent bytes stay unacknowledged for ackTimeout.
func Dialer(timeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:   timeout,
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { setUserTimeout(int(fd), ackTimeout) })
		},
	}
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Redialer returns a function that attempts to open a connection for a time, and
// sends another first packet each while. One may be lost, or meet a VM without
// power, and the kernel sends the next one only after a second. Earlier attempts go
// on beside later ones, so that a way that is slow works too.
func Redialer(ackTimeout, interval, timeout time.Duration) DialFunc {
	return redialer(Dialer(timeout, ackTimeout).DialContext, interval, timeout)
}

func redialer(dial DialFunc, interval, timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		dials := &attempts{results: make(chan result)}
		defer func() {
			cancel()
			go dials.closeRest()
		}()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			dials.add(func() (net.Conn, error) { return dial(ctx, network, address) })
			select {
			case first := <-dials.results:
				dials.pending--
				return first.conn, first.err
			case <-ticker.C:
			}
		}
	}
}

// result is how one try ended.
type result struct {
	conn net.Conn
	err  error
}

// attempts are attempts to open one connection that run beside each other.
type attempts struct {
	results chan result
	pending int
}

func (a *attempts) add(dial func() (net.Conn, error)) {
	a.pending++
	go func() {
		c, err := dial()
		a.results <- result{c, err}
	}()
}

// closeRest waits for the attempts that have not ended, and closes what they open.
func (a *attempts) closeRest() {
	for range a.pending {
		if o := <-a.results; o.conn != nil {
			_ = o.conn.Close()
		}
	}
}

// setUserTimeout is a help and no promise, so that a kernel without the option
// is no failure.
func setUserTimeout(fd int, limit time.Duration) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
}
