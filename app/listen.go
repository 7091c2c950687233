package app

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/wire"
)

// listeners holds the HTTP servers of a process.
type listeners struct {
	log     *slog.Logger
	tls     *tls.Config
	servers []*http.Server
	wg      sync.WaitGroup
}

// shutdown closes the listeners and waits until the requests in progress have
// ended or ctx is done.
func (l *listeners) shutdown(ctx context.Context) {
	for _, s := range l.servers {
		_ = s.Shutdown(ctx)
	}
}

// serve runs srv on a listener at addr and returns the address in use, which has
// the actual port.
func (l *listeners) serve(addr string, srv *http.Server) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		event.ListenFailed.Log(l.log, "address", addr, "error", err)
		return "", fault.Wrap(err, fault.InvalidConfig, fault.StepConfig, addr)
	}
	out := ln.Addr().String()
	if l.tls != nil {
		ln = tls.NewListener(ln, l.tls)
	}
	srv.ErrorLog = log.New(connectionLog{l.log}, "", 0)
	l.servers = append(l.servers, srv)
	l.wg.Go(func() {
		if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			event.ListenFailed.Log(l.log, "address", out, "error", err)
		}
	})
	return out, nil
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
	for _, s := range l.servers {
		_ = s.Close()
	}
	l.wg.Wait()
}
