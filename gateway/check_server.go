package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/wait"
)

const (
	// lookTime is how long a server may take to show that it is there; one that is there
	// takes some milliseconds, but a health check may wait for a slot.
	checkTimeout = 300 * time.Millisecond
	// lookAgain is the time between two looks at a server that resets what it gets: one
	// with too many connections takes new ones again by then, one that has ended does not.
	recheckDelay = 100 * time.Millisecond
)

var errRestarted = errors.New("gateway: the server has started again")

// lookAfter finds out whether a server has ended under a request that broke off there, some
// time after it was sent. A connection that broke alone, as by a reset on the way, says
// nothing of the request.
func (g *Gateway) checkAfterFailure(q *request, s *dispatch.Server, elapsed time.Duration) {
	generated, failure := q.work.Generated, g.contents.noteInterrupted(q, s.ID, elapsed)
	done := make(chan struct{})
	q.checked = done
	g.wg.Go(func() {
		defer close(done)
		err := g.checkServer(q, s)
		if err == nil || g.ctx.Err() != nil {
			return
		}
		event.ServerEnded.Log(g.log, "id", q.id, "content", failure.content.String(), "server", s.StableName(), "phase", s.Role, "made", generated, "error", err)
		g.contents.noteCrash(failure, s.ID)
	})
}

// look returns why a server is not there any more; nil if it is, or if that is not known.
func (g *Gateway) checkServer(q *request, s *dispatch.Server) error {
	if g.fleet.replaced(s.ID) {
		return errRestarted
	}
	if g.evacuated.has(s.Zone) {
		return nil // it gets nothing more, not even a question
	}
	err := g.probe(q, s)
	if backend.WasSent(err) {
		wait.For(g.ctx, recheckDelay)
		err = g.probe(q, s)
	}
	return err
}

// askState asks a server for its state, or for its health if it is no engine. A connection
// alone shows little: what stands before a server may take it in its place.
func (g *Gateway) probe(q *request, s *dispatch.Server) error {
	ctx, cancel := context.WithTimeout(g.ctx, checkTimeout)
	defer cancel()
	p := &g.cfg.Protocol
	call := backend.Call{Method: http.MethodGet, Path: q.service.HealthPath}
	if s.Role != "" && p.Report != nil {
		call = p.Report()
	}
	if call.Path == "" {
		return backend.Reach(ctx, s.Address)
	}
	res, body := g.exchange(ctx, q, s, g.callTo(q, s, call))
	switch {
	case res.kind == misdirected:
		return errRestarted
	case res.kind == notSent && !backend.TellsNothing(res.err):
		return res.err
	case res.kind == broken && backend.WasSent(res.err) && ctx.Err() == nil && !errors.Is(res.err, os.ErrDeadlineExceeded):
		return res.err // what is slow, or begins to answer, is there
	case res.kind != answered || s.Role == "" || p.ParseReport == nil:
		return nil
	}
	if report, err := p.ParseReport(body); err == nil && !s.SameIncarnation(report.Born) {
		return errRestarted
	}
	return nil
}
