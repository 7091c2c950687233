// Package tcpproxy is a TCP forwarder for tests that cuts a link between two
// processes: in silence, as a broken network does, or by closing it.
package tcpproxy

import (
	"io"
	"net"
	"sync"
	"testing"
)

// Gate forwards connections from its own address to another one.
type Gate struct {
	ln     net.Listener
	target string

	mu     sync.Mutex
	wake   *sync.Cond
	frozen bool
	closed bool
	conns  []net.Conn
}

// New returns a gate before target that is closed at the end of the test.
func New(t *testing.T, target string) *Gate {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &Gate{ln: ln, target: target}
	g.wake = sync.NewCond(&g.mu)
	go g.accept()
	t.Cleanup(g.close)
	return g
}

// Addr returns the gate's address.
func (g *Gate) Addr() string { return g.ln.Addr().String() }

// SetTarget changes where new connections go.
func (g *Gate) SetTarget(addr string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.target = addr
}

// Freeze lets nothing through any more; both ends see silence.
func (g *Gate) Freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = true
}

// Thaw lets everything through again, also what was held back.
func (g *Gate) Thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = false
	g.wake.Broadcast()
}

// Break closes all connections; new ones are forwarded.
func (g *Gate) Break() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		_ = c.Close()
	}
	g.conns = nil
}

func (g *Gate) close() {
	g.mu.Lock()
	g.closed = true
	g.frozen = false
	g.wake.Broadcast()
	g.mu.Unlock()
	_ = g.ln.Close()
	g.Break()
}

func (g *Gate) accept() {
	for {
		in, err := g.ln.Accept()
		if err != nil {
			return
		}
		go g.forward(in)
	}
}

// pass waits while the gate is frozen.
func (g *Gate) pass() (target string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.frozen {
		g.wake.Wait()
	}
	return g.target, !g.closed
}

func (g *Gate) forward(in net.Conn) {
	g.keep(in)
	target, ok := g.pass()
	if !ok {
		_ = in.Close()
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		_ = in.Close()
		return
	}
	g.keep(out)
	go g.copy(out, in)
	g.copy(in, out)
}

func (g *Gate) keep(c net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns = append(g.conns, c)
}

func (g *Gate) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, ok := g.pass(); !ok {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
