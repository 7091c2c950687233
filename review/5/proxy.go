package main

import (
	"io"
	"net"
	"sync"
)

// proxy is the link between the gateways and the server. It resets connections.
type proxy struct {
	ln     net.Listener
	target string

	mu sync.Mutex
	// links are the open connections, each with both ends.
	links []*link
}

// windowBytes is the size of the buffers of a link, which are small on the users' platform.
const windowBytes = 32 << 10

type link struct{ in, out *net.TCPConn }

func startProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(in.(*net.TCPConn))
		}
	}()
	return p, nil
}

// forward passes the bytes of a connection on, no faster than each end reads.
func (p *proxy) forward(in *net.TCPConn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	l := &link{in, out.(*net.TCPConn)}
	_, _ = l.in.SetReadBuffer(windowBytes), l.out.SetWriteBuffer(windowBytes)
	p.mu.Lock()
	p.links = append(p.links, l)
	p.mu.Unlock()
	go func() {
		pass(l.out, l.in)
		_ = l.out.CloseWrite()
	}()
	pass(l.in, l.out)
	p.remove(l)
	_, _ = l.in.Close(), l.out.Close()
}

func (p *proxy) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, other := range p.links {
		if other == l {
			p.links = append(p.links[:n], p.links[n+1:]...)
			return
		}
	}
}

// reset resets some of the open connections at both ends, and returns how many.
func (p *proxy) reset(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n = min(n, len(p.links))
	for _, l := range p.links[:n] {
		_, _ = l.in.SetLinger(0), l.out.SetLinger(0)
		_, _ = l.in.Close(), l.out.Close()
	}
	return n
}

// pass copies through a buffer of its own, since the kernel would hold more than a window.
func pass(to, from net.Conn) {
	_, _ = io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from})
}
