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
	lookTime = 300 * time.Millisecond
	// lookAgain is the time between two looks at a server that resets what it gets: one
	// with too many connections takes new ones again by then, one that has ended does not.
	lookAgain = 100 * time.Millisecond
)

var errRestarted = errors.New("gateway: the server has started again")

// lookAfter finds out whether a server has ended under a request that broke off there, some
// time after it was sent. A
// connection that broke alone, as by a reset on the way, says nothing of the request.
func (g *Gateway) lookAfter(q *request, s *dispatch.Server, ran time.Duration) {
	made := q.work.Made
	broke := g.brokeOff(q, ran)
	g.contents.breakOff(broke, s.ID)
	done := make(chan struct{})
	q.looked = done
	g.wg.Go(func() {
		defer close(done)
		err := g.look(q, s)
		if err == nil || g.ctx.Err() != nil {
			return
		}
		event.ServerEnded.Log(g.log, "id", q.id, "content", broke.content.String(), "server", s.Called(), "phase", s.Role, "made", made, "error", err)
		g.contents.ended(g, broke, s.ID)
	})
}

// look returns why a server is not there any more; nil if it is, or if that is not known.
func (g *Gateway) look(q *request, s *dispatch.Server) error {
	if g.fleet.ended(s.ID) {
		return errRestarted
	}
	err := g.ask(q, s)
	var be *backend.Error
	if errors.As(err, &be) && be.Sent {
		wait.For(g.ctx, lookAgain)
		err = g.ask(q, s)
	}
	return err
}

// ask asks a server for its state, or for its health if it is no engine. A connection alone
// shows little: what stands before a server may take it in its place.
func (g *Gateway) ask(q *request, s *dispatch.Server) error {
	ctx, cancel := context.WithTimeout(g.ctx, lookTime)
	defer cancel()
	p := &g.cfg.Protocol
	call := backend.Call{Method: http.MethodGet, Path: q.service.HealthPath}
	if s.Role != "" && p.Report != nil {
		call = p.Report()
	}
	if call.Path == "" {
		return backend.Reach(ctx, s.Address)
	}
	a, err := g.pool.Do(ctx, &p.Headers, g.callTo(q, s, call))
	var be *backend.Error
	switch {
	case errors.Is(err, backend.ErrFull):
		return nil
	case errors.As(err, &be) && be.Sent && (ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded)):
		return nil // it took the connection, and is slow
	case err != nil:
		return err
	}
	status := a.Status
	body, err := a.ReadAll(maxAnswer)
	if status == http.StatusMisdirectedRequest {
		return errRestarted
	}
	if err != nil || s.Role == "" || p.ParseReport == nil {
		return nil // it has answered
	}
	if report, err := p.ParseReport(body); err == nil && report.Born != 0 && s.Born != 0 && report.Born != s.Born {
		return errRestarted
	}
	return nil
}
