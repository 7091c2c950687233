package app

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/wire"
)

// listeners holds the HTTP servers of a process.
type listeners struct {
	log *slog.Logger
	tls *tls.Config
	// callers are the servers for callers, others those for operators, metrics, readiness checks,
	// control's API and links.
	callers, others []*drainingServer
	wg              sync.WaitGroup
}

// otherRequestsTimeout is how long a planned stop waits for requests that are not callers'.
const otherRequestsTimeout = 2 * time.Second

// shutdown closes the listeners and waits until the requests in progress have been answered
// completely or ctx is done. Operators and readiness checks are served until callers are done.
func (l *listeners) shutdown(ctx context.Context) {
	shutdownAll(ctx, l.callers)
	ctx, cancel := context.WithTimeout(ctx, otherRequestsTimeout)
	defer cancel()
	shutdownAll(ctx, l.others)
}

// unanswered returns the number of callers' requests that are not answered completely.
func (l *listeners) unanswered() int {
	n := 0
	for _, s := range l.callers {
		n += s.activeCount()
	}
	return n
}

func shutdownAll(ctx context.Context, servers []*drainingServer) {
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Go(func() { s.shutdown(ctx) })
	}
	wg.Wait()
}

// serveCallers runs srv, which serves callers, on a listener at addr and returns the address in
// use.
func (l *listeners) serveCallers(addr string, srv *http.Server) (string, error) {
	return l.listen(addr, &l.callers, srv, maxCallerConnections())
}

// serve runs srv on a listener at addr and returns the address in use, which has
// the actual port.
func (l *listeners) serve(addr string, srv *http.Server) (string, error) {
	return l.listen(addr, &l.others, srv, 0)
}

func (l *listeners) listen(addr string, list *[]*drainingServer, srv *http.Server, most int) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		event.ListenFailed.Log(l.log, "address", addr, "error", err)
		return "", fault.Wrap(err, fault.InvalidConfig, fault.StepConfig, addr)
	}
	out := ln.Addr().String()
	if l.tls != nil {
		ln = tls.NewListener(ln, l.tls)
	}
	l.run(ln, list, srv, most)
	return out, nil
}

// run runs srv on ln, with a maximum number of connections unless it is zero, and adds it to a list of servers.
func (l *listeners) run(ln net.Listener, list *[]*drainingServer, srv *http.Server, most int) {
	srv.ErrorLog = log.New(connectionLog{l.log}, "", 0)
	*list = append(*list, newDrainingServer(srv, most))
	l.wg.Go(func() {
		if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			event.ListenFailed.Log(l.log, "address", ln.Addr().String(), "error", err)
		}
	})
}

// connectionLog writes the messages of an http.Server as events.
type connectionLog struct{ log *slog.Logger }

// Write implements io.Writer.
func (c connectionLog) Write(p []byte) (int, error) {
	event.BadConnection.Log(c.log, "detail", strings.TrimSpace(string(p)))
	return len(p), nil
}

// serveLinks serves the links from other processes with h and returns the address
// in use.
func (l *listeners) serveLinks(addr string, h http.Handler) (string, error) {
	mux := http.NewServeMux()
	mux.Handle(wire.Path, h)
	return l.serve(addr, &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second})
}

// close closes all listeners and their connections, and waits for the servers to
// return.
func (l *listeners) close() {
	for _, s := range slices.Concat(l.callers, l.others) {
		_ = s.Close()
	}
	l.wg.Wait()
}
