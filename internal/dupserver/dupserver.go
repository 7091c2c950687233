// Package dupserver is an HTTP server for tests that sends each answer a second time, late: in
// the place where the answer to the next request on the connection is due.
package dupserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Response is what the server sends for a request.
type Response struct {
	Status int
	Type   string
	Body   string
}

// Server answers requests on loopback, and keeps connections open until callers close them.
type Server struct {
	ln      net.Listener
	respond func(method, target, body string) Response
	wg      sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// New returns a server that is closed at the end of the test.
func New(t *testing.T, respond func(method, target, body string) Response) *Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{ln: ln, respond: respond, conns: map[net.Conn]bool{}}
	s.wg.Go(s.accept)
	t.Cleanup(s.close)
	return s
}

// Addr is the address of the server.
func (s *Server) Addr() string { return s.ln.Addr().String() }

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.wg.Go(func() { s.serve(c) })
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	previous := ""
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		resp := s.respond(req.Method, req.RequestURI, string(body))
		raw := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
			resp.Status, http.StatusText(resp.Status), resp.Type, len(resp.Body), resp.Body)
		if _, err := io.WriteString(c, previous+raw); err != nil {
			return
		}
		previous = raw
	}
}

func (s *Server) close() {
	_ = s.ln.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
