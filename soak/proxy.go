package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards connections to a server on the loopback address, and disturbs
// them when it is told to.
type proxy struct {
	ln     net.Listener
	target string

	mu sync.Mutex
	// silent and silentBack hold bytes up on the way to the server, and on the
	// way back.
	silent, silentBack bool
	delay              time.Duration
	// surplus has an answer come again in the place of the next one.
	surplus bool
	count   func(what string)
	conns   map[net.Conn]bool
	closed  bool
	wake    *sync.Cond
}

// newProxy forwards to target.
func newProxy(target string, count func(what string)) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, count: count, conns: map[net.Conn]bool{}}
	p.wake = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

// set changes how connections are disturbed.
func (p *proxy) set(silent, silentBack bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent, p.silentBack, p.delay = silent, silentBack, delay
	p.wake.Broadcast()
}

// reset breaks all connections, so that both ends see a reset.
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
	p.wake.Broadcast()
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
		go p.forward(in)
	}
}

func (p *proxy) forward(in net.Conn) {
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		// A server that is dead resets.
		setReset(in)
		_ = in.Close()
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	a := &answers{}
	go p.copy(in, out, func(data []byte) []byte { a.note(data); return data }, true)
	p.copy(out, in, func(data []byte) []byte {
		if again := a.again(); len(again) > 0 && p.sendsAgain() {
			p.count("answer that came again")
			_, _ = in.Write(again)
		}
		return data
	}, false)
}

// pass waits while a direction is silent, and for the delay.
func (p *proxy) pass(back bool) bool {
	p.mu.Lock()
	for !p.closed && (p.silent && !back || p.silentBack && back) {
		p.wake.Wait()
	}
	closed, delay := p.closed, p.delay
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return !closed
}

func (p *proxy) copy(to, from net.Conn, passing func([]byte) []byte, back bool) {
	defer p.drop(to, from)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.pass(back) {
				return
			}
			if _, err := to.Write(passing(buf[:n])); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				setReset(to)
			}
			return
		}
	}
}

// setReset has the close of a connection be a reset, as the other side saw one.
func setReset(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0)
	}
}

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}
