package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/wait"
)

const (
	// checkTimeout bounds how long a server may take to prove that it is running. One that is
	// running needs a few milliseconds, but a health check may wait for a slot.
	checkTimeout = 300 * time.Millisecond
	// recheckDelay is the time between two checks of a server that resets connections: by then a
	// server with too many connections accepts new ones again, while one that has crashed doesn't.
	recheckDelay = 100 * time.Millisecond
)

var errRestarted = errors.New("gateway: the server has restarted")

// checkAfterFailure checks whether a server has crashed under a request that was interrupted there,
// some time after it was sent. A broken connection alone, such as after a reset by the network, is
// no evidence against the request.
func (g *Gateway) checkAfterFailure(q *request, s *dispatch.Server, elapsed time.Duration) {
	generated, failure := q.work.Generated, g.contents.noteInterrupted(q, s, elapsed)
	parts := describeParts(g.sharedParts(q))
	done := make(chan struct{})
	q.checked = done
	g.wg.Go(func() {
		defer close(done)
		err := g.checkServer(q, s)
		if err == nil || g.ctx.Err() != nil {
			return
		}
		event.ServerCrashed.Log(g.log, "id", q.id, "content", failure.content.String(), "server", s.StableName(), "phase", s.Role, "made", generated, "parts", parts, "ran_ms", elapsed.Milliseconds(), "error", err)
		g.contents.noteCrash(failure, s.ID)
	})
}

// checkServer returns why a server is no longer running; nil if it is, or if that is unknown.
func (g *Gateway) checkServer(q *request, s *dispatch.Server) error {
	if g.fleet.replaced(s.ID) {
		return errRestarted
	}
	if g.evacuated.has(s.Zone) {
		return nil // an evacuated zone gets no calls at all
	}
	err := g.probe(q, s)
	if backend.WasSent(err) {
		wait.For(g.ctx, recheckDelay)
		err = g.probe(q, s)
	}
	return err
}

// endedUnder returns an error if a server has ended that ended an answer without a length by closing
// its connection: the end of its process looks the same. A server that can't be reached for another
// reason may have completed the answer.
func (g *Gateway) endedUnder(q *request, s *dispatch.Server) error {
	err := g.checkServer(q, s)
	if errors.Is(err, errRestarted) || errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", errServerEnded, err)
	}
	return nil
}

var errServerEnded = errors.New("gateway: the server ended, and its answer without a length may be incomplete")

// probe requests the state of an engine, or the health of another server. An open connection alone
// proves little: a proxy in front of the server may have accepted it.
func (g *Gateway) probe(q *request, s *dispatch.Server) error {
	ctx, cancel := context.WithTimeout(g.ctx, checkTimeout)
	defer cancel()
	p := &g.cfg.Protocol
	call := backend.Call{Method: http.MethodGet, Path: q.service.HealthPath}
	if s.Role != "" && p.Report != nil {
		call = p.Report()
	}
	if call.Path == "" {
		return backend.Probe(ctx, s.Address)
	}
	res, body := g.exchange(ctx, q, s, g.callTo(q, s, call))
	switch {
	case res.kind == misdirected:
		return errRestarted
	case res.kind == notSent && !backend.WithheldByGateway(res.err):
		return res.err
	case errors.Is(res.err, backend.ErrTooLong):
		return nil // a server that sends bytes without end is running
	case res.kind == broken && backend.WasSent(res.err) && ctx.Err() == nil && !errors.Is(res.err, os.ErrDeadlineExceeded):
		return res.err // a server that is slow or starts to answer is running
	case res.kind != answered || s.Role == "" || p.ParseReport == nil:
		return nil
	}
	if report, err := p.ParseReport(body); err == nil && !s.SameIncarnation(report.Born) {
		return errRestarted
	}
	return nil
}
