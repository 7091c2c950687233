// Package tcpproxy is a TCP proxy for tests that interrupts a link between two
// processes: silently, as a broken network does, or by closing its connections.
package tcpproxy

import (
	"io"
	"net"
	"sync"
	"testing"
)

// Proxy forwards connections from its own address to a target.
type Proxy struct {
	ln     net.Listener
	target string

	mu      sync.Mutex
	wake    *sync.Cond
	blocked bool
	closed  bool
	conns   []net.Conn
}

// New starts a proxy for target that is closed at the end of the test.
func New(t *testing.T, target string) *Proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{ln: ln, target: target}
	p.wake = sync.NewCond(&p.mu)
	go p.accept()
	t.Cleanup(p.close)
	return p
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetTarget changes the address that new connections are forwarded to.
func (p *Proxy) SetTarget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = addr
}

// Block stops forwarding without closing connections: neither end receives anything.
func (p *Proxy) Block() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = true
}

// Unblock resumes forwarding, including the data received while blocked.
func (p *Proxy) Unblock() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = false
	p.wake.Broadcast()
}

// CloseConnections closes all open connections; new ones are still forwarded.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

func (p *Proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.blocked = false
	p.wake.Broadcast()
	p.mu.Unlock()
	_ = p.ln.Close()
	p.CloseConnections()
}

func (p *Proxy) accept() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(in)
	}
}

// waitUnblocked waits while the proxy is blocked. It returns the current target, and whether
// the proxy is still open.
func (p *Proxy) waitUnblocked() (target string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.blocked {
		p.wake.Wait()
	}
	return p.target, !p.closed
}

func (p *Proxy) forward(in net.Conn) {
	p.track(in)
	target, ok := p.waitUnblocked()
	if !ok {
		_ = in.Close()
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		_ = in.Close()
		return
	}
	p.track(out)
	go p.copy(out, in)
	p.copy(in, out)
}

func (p *Proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
}

func (p *Proxy) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, ok := p.waitUnblocked(); !ok {
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
