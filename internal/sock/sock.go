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

// Redialer returns a function that tries to open a connection for a time, and
// sends another first packet each while. One may be lost, or meet a VM without
// power, and the kernel sends the next one only after a second. Earlier tries go
// on beside later ones, so that a way that is slow works too.
func Redialer(silence, every, timeout time.Duration) DialFunc {
	return redialer(Dialer(timeout, silence).DialContext, every, timeout)
}

func redialer(dial DialFunc, every, timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		dials := &tries{ended: make(chan opened)}
		defer func() {
			cancel()
			go dials.closeRest()
		}()
		again := time.NewTicker(every)
		defer again.Stop()
		for {
			dials.add(func() (net.Conn, error) { return dial(ctx, network, address) })
			select {
			case first := <-dials.ended:
				dials.open--
				return first.conn, first.err
			case <-again.C:
			}
		}
	}
}

// opened is how one try ended.
type opened struct {
	conn net.Conn
	err  error
}

// tries are tries to open one connection that run beside each other.
type tries struct {
	ended chan opened
	open  int
}

func (t *tries) add(dial func() (net.Conn, error)) {
	t.open++
	go func() {
		c, err := dial()
		t.ended <- opened{c, err}
	}()
}

// closeRest waits for the tries that have not ended, and closes what they open.
func (t *tries) closeRest() {
	for range t.open {
		if o := <-t.ended; o.conn != nil {
			_ = o.conn.Close()
		}
	}
}

// setUserTimeout is a help and no promise, so that a kernel without the option
// is no failure.
func setUserTimeout(fd int, limit time.Duration) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
}
