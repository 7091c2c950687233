package app

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/internal/wait"
)

// drainingServer is an HTTP server whose shutdown waits for requests only. http.Server.Shutdown
// also waits, for up to 5 s, for connections on which nothing has been sent.
type drainingServer struct {
	*http.Server
	limit *connectionLimit

	mu sync.Mutex
	// active are the connections with a request that is not answered completely. opened holds the
	// time at which each connection without a first request was accepted.
	active map[net.Conn]bool
	opened map[net.Conn]time.Time
}

const (
	// firstRequestTimeout is how long after a connection was accepted its first request may
	// arrive at a server that shuts down.
	firstRequestTimeout = time.Second
	activePollInterval  = 10 * time.Millisecond
)

// newDrainingServer returns a server that accepts a number of connections at most; zero for no limit.
func newDrainingServer(srv *http.Server, most int) *drainingServer {
	s := &drainingServer{Server: srv, limit: newConnectionLimit(most), active: map[net.Conn]bool{}, opened: map[net.Conn]time.Time{}}
	srv.ConnState = s.setState
	return s
}

// setState records a connection's state. A connection is active until the last byte of the answer
// has been passed to the operating system, which is after the handler has returned.
func (s *drainingServer) setState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.limit.noteOpened(c)
	case http.StateActive:
		s.limit.noteBusy(c)
	case http.StateIdle:
		s.limit.noteIdle(c)
	default:
		s.limit.noteClosed(c)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, c)
	delete(s.opened, c)
	switch state {
	case http.StateNew:
		s.opened[c] = clock.VM.Now()
	case http.StateActive:
		s.active[c] = true
	}
}

// busy reports whether a request is in progress or may have been sent.
func (s *drainingServer) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.opened {
		if clock.VM.Since(at) < firstRequestTimeout {
			return true
		}
	}
	return len(s.active) > 0
}

func (s *drainingServer) activeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active)
}

// awaitFirstRequests waits until the first request has arrived on each connection that is open now,
// for firstRequestTimeout at most. From Shutdown on, http.Server closes a connection on which it
// reads a request without calling the handler.
func (s *drainingServer) awaitFirstRequests(ctx context.Context) {
	s.mu.Lock()
	waiting := maps.Clone(s.opened)
	s.mu.Unlock()
	if len(waiting) == 0 {
		return
	}
	for ctx.Err() == nil && s.anyWaiting(waiting) {
		wait.For(ctx, activePollInterval)
	}
	wait.For(ctx, activePollInterval) // until the handler has been called
}

// anyWaiting reports whether one of some connections may still send its first request.
func (s *drainingServer) anyWaiting(list map[net.Conn]time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, at := range list {
		if _, open := s.opened[c]; open && clock.VM.Since(at) < firstRequestTimeout {
			return true
		}
	}
	return false
}

// shutdown closes the listener and idle connections, and waits until all requests have been
// answered completely or ctx is done.
func (s *drainingServer) shutdown(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.awaitFirstRequests(ctx)
	go func() {
		defer cancel()
		for ctx.Err() == nil && s.busy() {
			wait.For(ctx, activePollInterval)
		}
	}()
	_ = s.Shutdown(ctx)
}
