package deployment

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Server is a stand-in for a plain server. It follows the users' pages: it signs its answers, returns the
// ID of the request, and stops working on a request when its connection closes.
type Server struct {
	ID, Service string
	// Work is how long it works on a request.
	Work time.Duration

	d        *Deployment
	address  string
	http     *http.Server
	sequence atomic.Int64
	stop     chan struct{}
	wg       sync.WaitGroup
}

// StartServer starts a server, which registers itself until Close.
func (d *Deployment) StartServer(id, service string, work time.Duration) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Service: service, Work: work, d: d, address: l.Addr().String(), stop: make(chan struct{})}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 5 * time.Second}
	s.wg.Go(func() { _ = s.http.Serve(l) })
	s.wg.Go(s.heartbeats)
	return s, nil
}

// Close ends the server.
func (s *Server) Close() {
	close(s.stop)
	_ = s.http.Close()
	s.wg.Wait()
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Ledgepin-Instance-Id", s.ID)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Ledgepin-Request-Id")
	w.Header().Set("Ledgepin-Request-Id", id)
	if expected := r.Header.Get("Ledgepin-Expect-Instance"); expected != "" && expected != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.d.Note("server %s: runs request %s (%s %s)", s.ID, id, r.Method, r.RequestURI)
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		s.d.Note("server %s: stops request %s, whose connection closed", s.ID, id)
		return
	}
	w.Header().Set("Ledgepin-Response-Signature", s.ID+"."+id)
	_, _ = fmt.Fprintf(w, "answer to %s", id)
	s.d.Note("server %s: has answered request %s with 200", s.ID, id)
}

// heartbeats reports the server to control about every heartbeatMs, 1.2 s.
func (s *Server) heartbeats() {
	for {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":%d}`, s.Service, s.address, s.sequence.Add(1))
		for _, p := range s.d.Controls {
			if status, _, err := Call(http.MethodPost, "http://"+p.API+"/-/instances/"+s.ID+"/heartbeat", body); err == nil && status == http.StatusOK {
				break
			}
		}
		select {
		case <-s.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}
