// Package dupserver is an HTTP server for tests that sends each response twice: the copy
// arrives where the response to the next request on the connection is due.
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

// Response is a response without headers other than its type and length.
type Response struct {
	Status int
	Type   string
	Body   string
}

// Server serves requests on loopback and keeps connections open until clients close them.
type Server struct {
	ln      net.Listener
	respond func(method, target, body string) Response
	wg      sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// New starts a server that is closed at the end of the test.
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

// Addr returns the address that the server listens on.
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
