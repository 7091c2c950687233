// Package sock opens TCP connections that fail within seconds if the network drops their
// packets. The kernel's default timeouts are minutes.
package sock

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer returns a dialer that gives up after timeout. An open connection is closed if sent
// bytes stay unacknowledged for ackTimeout.
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

// Redialer returns a function that tries to open a connection until timeout, and starts
// another attempt each interval. The first packet of an attempt may be lost, or sent to a VM
// that is powered off, and the kernel repeats it only after a second. Earlier attempts
// continue in parallel, so that a path slower than interval works too.
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

// result is the outcome of one attempt.
type result struct {
	conn net.Conn
	err  error
}

// attempts are concurrent attempts to open one connection.
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

// closeRest waits for the pending attempts and closes the connections that they open.
func (a *attempts) closeRest() {
	for range a.pending {
		if o := <-a.results; o.conn != nil {
			_ = o.conn.Close()
		}
	}
}

// setUserTimeout ignores errors: on a kernel without the option, connections work but fail
// later.
func setUserTimeout(fd int, limit time.Duration) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
}
