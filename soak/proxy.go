package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/internal/sock"
)

// proxy forwards connections to a server on the loopback address and disturbs them on request.
type proxy struct {
	ln     net.Listener
	target string

	mu sync.Mutex
	// holdRequests and holdAnswers hold back data to the server and from the server.
	holdRequests, holdAnswers bool
	delay                     time.Duration
	// duplicate sends an answer again in place of the next one.
	duplicate        bool
	countDisturbance func(what string)
	conns            map[net.Conn]bool
	// clients are the addresses of the clients by that of the connection to the server.
	clients map[string]*net.TCPAddr
	closed  bool
	cond    *sync.Cond
}

// newProxy returns a proxy that forwards to target.
func newProxy(target string, countDisturbance func(what string)) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, countDisturbance: countDisturbance, conns: map[net.Conn]bool{}, clients: map[string]*net.TCPAddr{}}
	p.cond = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) tcpAddr() *net.TCPAddr {
	a, _ := p.ln.Addr().(*net.TCPAddr)
	return a
}

// client returns the address of the client whose requests come to the server from a remote address;
// nil if there is none.
func (p *proxy) client(remote string) *net.TCPAddr {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clients[remote]
}

// disturb sets how connections are disturbed.
func (p *proxy) disturb(holdRequests, holdAnswers bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holdRequests, p.holdAnswers, p.delay = holdRequests, holdAnswers, delay
	p.cond.Broadcast()
}

// reset resets all connections at both ends.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		setReset(c)
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.cond.Broadcast()
	p.mu.Unlock()
	_ = p.ln.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(sock.Checked(in, 0)) // else a reset may reach the server as the end of the stream
	}
}

func (p *proxy) forward(in net.Conn) {
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		// A dead server resets connections.
		setReset(in)
		_ = in.Close()
		return
	}
	out = sock.Checked(out, 0)
	setBuffers(in, out)
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	if client, ok := in.RemoteAddr().(*net.TCPAddr); ok {
		p.clients[out.LocalAddr().String()] = client
	}
	p.mu.Unlock()
	defer p.closeConns(in, out)
	la := &lastAnswer{}
	answered, requested := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(answered)
		if p.copy(in, out, func(data []byte) []byte { la.write(data); return data }, true) {
			closeWrite(in)
			select { // the server may still read
			case <-requested:
			case <-time.After(maxReadDelay):
			}
		}
		p.closeConns(in, out)
	}()
	ended := p.copy(out, in, func(data []byte) []byte {
		if duplicate := la.take(); len(duplicate) > 0 && p.drawDuplicate() {
			p.countDisturbance("answer that came again")
			_, _ = in.Write(duplicate)
		}
		return data
	}, false)
	close(requested)
	if ended && closeWrite(out) {
		select {
		case <-answered:
		case <-time.After(halfCloseTimeout):
		}
	}
}

// closeWrite ends one side of a connection, and reports whether that is possible.
func closeWrite(c net.Conn) bool {
	half, ok := c.(interface{ CloseWrite() error })
	if ok {
		_ = half.CloseWrite()
	}
	return ok
}

// halfCloseTimeout is how long a server may still answer after its client has closed the connection
// for writing.
const halfCloseTimeout = time.Second

// hold waits while a direction is held back, and for the delay. It returns false once the proxy is
// closed.
func (p *proxy) hold(toClient bool) bool {
	p.mu.Lock()
	for !p.closed && (p.holdRequests && !toClient || p.holdAnswers && toClient) {
		p.cond.Wait()
	}
	closed, delay := p.closed, p.delay
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return !closed
}

// copy forwards one direction until it ends, and reports whether it was closed in order.
func (p *proxy) copy(to, from net.Conn, transform func([]byte) []byte, toClient bool) bool {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.hold(toClient) {
				return false
			}
			if _, err := to.Write(transform(buf[:n])); err != nil {
				return false
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				setReset(to)
				return false
			}
			return true
		}
	}
}

// setBuffers bounds the buffers for what a client sends.
func setBuffers(in, out net.Conn) {
	if c, ok := in.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = c.SetReadBuffer(proxyBuffer)
	}
	if c, ok := out.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = c.SetWriteBuffer(proxyBuffer)
	}
}

// setReset makes the close of a connection a reset.
func setReset(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0)
	}
}

func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
		delete(p.clients, c.LocalAddr().String())
	}
}
