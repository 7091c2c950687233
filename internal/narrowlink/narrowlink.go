// Package narrowlink is a network link of bounded speed for tests. All connections of one process share it;
// in each direction their bytes wait in one queue.
package narrowlink

import (
	"context"

	"net"
	"sync"
	"testing"
	"time"

	"github.com/ledgepin/ledgepin/clock"
)

const (
	// handshakeBytes is the size of the packet that each side sends to open a connection.
	handshakeBytes = 60
	chunkBytes     = 4 << 10
	// bufferedChunks bounds what a connection buffers in each direction.
	bufferedChunks = 16
)

// Link is the link of one process.
type Link struct {
	in, out queue
	// inner accepts one end of each connection between the process and the link.
	inner net.Listener
	pair  sync.Mutex
}

// New returns a link that carries a number of bytes a second each way.
func New(t testing.TB, bytesPerSecond int) *Link {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	l := &Link{inner: ln}
	l.SetSpeed(bytesPerSecond)
	return l
}

// SetSpeed changes the number of bytes a second that the link carries each way.
func (l *Link) SetSpeed(bytesPerSecond int) {
	l.in.setSpeed(bytesPerSecond)
	l.out.setSpeed(bytesPerSecond)
}

// Dial opens a connection of the process to address.
func (l *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := sleepUntil(ctx, l.out.reserve(handshakeBytes)); err != nil {
		return nil, err
	}
	var d net.Dialer
	peer, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := sleepUntil(ctx, l.in.reserve(handshakeBytes)); err != nil {
		_ = peer.Close()
		return nil, err
	}
	return l.connect(peer)
}

// Listen returns a listener of the process that accepts the connections of ln.
func (l *Link) Listen(ln net.Listener) net.Listener { return &listener{ln, l} }

type listener struct {
	net.Listener
	link *Link
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		peer, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, err := l.link.connect(peer); err == nil {
			return c, nil
		}
	}
}

// connect returns the process's end of a connection to a peer.
func (l *Link) connect(peer net.Conn) (net.Conn, error) {
	l.pair.Lock()
	defer l.pair.Unlock()
	own, err := net.Dial("tcp", l.inner.Addr().String())
	if err != nil {
		_ = peer.Close()
		return nil, err
	}
	end, err := l.inner.Accept()
	if err != nil {
		_, _ = peer.Close(), own.Close()
		return nil, err
	}
	go func() {
		var wg sync.WaitGroup
		wg.Go(func() { l.out.carry(peer, end) })
		wg.Go(func() { l.in.carry(end, peer) })
		wg.Wait()
		_, _ = peer.Close(), end.Close()
	}()
	return own, nil
}

// queue is one direction of a link.
type queue struct {
	mu    sync.Mutex
	speed float64
	// free is when the bytes that wait now have been carried.
	free time.Time
}

func (q *queue) setSpeed(bytesPerSecond int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.speed = float64(bytesPerSecond)
}

// reserve returns when a number of bytes that join the queue now have been carried.
func (q *queue) reserve(n int) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now := clock.VM.Now(); q.free.Before(now) {
		q.free = now
	}
	q.free = q.free.Add(time.Duration(float64(n) / q.speed * float64(time.Second)))
	return q.free
}

// carry passes on what src sends to dst until src ends.
func (q *queue) carry(dst, src net.Conn) {
	type chunk struct {
		data []byte
		due  time.Time
	}
	chunks := make(chan chunk, bufferedChunks)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, chunkBytes)
			n, err := src.Read(buf)
			if n > 0 {
				chunks <- chunk{buf[:n], q.reserve(n)}
			}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for c := range chunks {
		time.Sleep(clock.VM.Until(c.due))
		if failed {
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			failed = true
			_ = src.Close()
		}
	}
	if half, ok := dst.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}

}

func sleepUntil(ctx context.Context, at time.Time) error {
	t := time.NewTimer(clock.VM.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
