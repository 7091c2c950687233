package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/origin"
)

// A server that restarts under its name and address, perhaps with another software version, gets
// requests for its earlier incarnation until it has reported itself: neither requests nor answers name
// incarnations. A new stream may begin at either, but one that continues may not. The record of a new
// stream is in doubt until the incarnation that it names has been heard from later. While the servers of
// a service differ in version, the gateway asks before it passes the first event on; else only if the stream
// is to be continued.

// confirmTimeout bounds how long an engine may take to confirm its incarnation.
const confirmTimeout = 300 * time.Millisecond

var errNoReport = errors.New("no report")

var errUnconfirmed = errors.New("gateway: the engine did not confirm that it is still the same incarnation")

// confirmContinuation asks an engine that is about to continue a stream for its incarnation, and returns
// an error unless it is the right one. confirmed is false for a new stream, which needs no confirmation,
// and for an engine that does not report its start.
func (n *generation) confirmContinuation(ctx context.Context, s *dispatch.Server) (confirmed bool, err error) {
	if !n.q.continues && !n.stream.started {
		return false, nil
	}
	if s.ID == n.q.confirmedBy && n.g.clock.Since(n.q.confirmedAt) < confirmationTTL {
		return true, nil
	}
	confirmed, err = n.g.confirmIncarnation(ctx, n.q, s)
	if errors.Is(err, errRestarted) {
		n.g.fleet.markGone(s.ID)
		n.g.pool.CloseIdle(s.Address)
	}
	return confirmed, err
}

// confirmed reports whether an engine may continue a stream.
func (n *generation) confirmed(ctx context.Context, s *dispatch.Server) bool {
	_, err := n.confirmContinuation(ctx, s)
	return err == nil
}

// canConfirm reports whether an engine can be asked when its process was started.
func (g *Gateway) canConfirm(s *dispatch.Server) bool {
	p := &g.cfg.Protocol
	return s.Born != 0 && s.Role != "" && p.Report != nil && p.ParseReport != nil
}

// confirmIncarnation asks an engine for the start of its process. Engines that never report it are
// taken for the same; one whose answer lacks it, though its heartbeats do not, has not confirmed
// anything.
func (g *Gateway) confirmIncarnation(ctx context.Context, q *request, s *dispatch.Server) (confirmed bool, err error) {
	p := &g.cfg.Protocol
	if !g.canConfirm(s) {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	res, body := g.exchange(ctx, q, s, g.callTo(q, s, p.Report()))
	switch res.kind {
	case misdirected:
		return false, errRestarted
	case answered:
	default:
		return false, fmt.Errorf("%w: %v, %w", errUnconfirmed, res.kind, cmp.Or(res.err, errNoReport))
	}
	report, err := p.ParseReport(body)
	if err != nil {
		return false, fmt.Errorf("%w: %w", errUnconfirmed, err)
	}
	if report.Born == 0 {
		return false, errUnconfirmed
	}
	if !s.SameIncarnation(report.Born) {
		return false, errRestarted
	}
	return true, nil
}

const (
	// confirmInterval is the minimum time between two questions to an engine about new streams.
	confirmInterval = 10 * time.Millisecond
	// confirmationTTL is how long an engine that has confirmed itself for a request need not do so again.
	confirmationTTL = 100 * time.Millisecond
)

// confirmations are the engines that are being asked about new streams.
type confirmations struct {
	mu sync.Mutex
	// again maps the IDs of these engines to whether further streams have begun since.
	again map[string]bool
}

// begin reports whether an engine has to be asked now; else it is asked again later, until end says
// that no more streams have begun.
func (c *confirmations) begin(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, asking := c.again[id]; asking {
		c.again[id] = true
		return false
	}
	if c.again == nil {
		c.again = map[string]bool{}
	}
	c.again[id] = false
	return true
}

// end reports whether an engine has to be asked again; else it is no longer being asked.
func (c *confirmations) end(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.again[id] {
		c.again[id] = false
		return true
	}
	delete(c.again, id)
	return false
}

// newStreamTimeout bounds how long the first event of a stream waits for its engine to confirm itself.
const newStreamTimeout = 50 * time.Millisecond

// confirmNewStream asks an engine whose answer to a new stream has begun to arrive whether it is still
// the incarnation that has reported itself, while the servers of its service differ in version. Other
// streams that begin there within confirmInterval don't wait; the engine is asked about them later, in
// the background.
func (g *Gateway) confirmNewStream(ctx context.Context, q *request, s *dispatch.Server) error {
	if !g.canConfirm(s) || !g.fleet.mixed(s.Service) || g.evacuated.has(s.Zone) || !g.confirmations.begin(s.ID) {
		return errUnconfirmed
	}
	engine, question := *s, &request{id: q.id, service: q.service} // which outlives q and its body
	ctx, cancel := context.WithTimeout(ctx, newStreamTimeout)
	defer cancel()
	err := g.askIncarnation(ctx, question, &engine)
	g.wg.Go(func() {
		for wait.For(g.ctx, confirmInterval); g.confirmations.end(engine.ID) && g.ctx.Err() == nil; wait.For(g.ctx, confirmInterval) {
			_ = g.askIncarnation(g.ctx, question, &engine)
		}
	})
	return err
}

// askIncarnation asks an engine whether it is still the incarnation at which streams have begun, and
// records the answer for all that have begun there.
func (g *Gateway) askIncarnation(ctx context.Context, q *request, s *dispatch.Server) error {
	asked := g.clock.Now()
	_, err := g.confirmIncarnation(ctx, q, s)
	switch {
	case err == nil:
		g.origins.settle(s.ID, func(d origin.Doubt) bool { return !d.Begun.After(asked) })
	case errors.Is(err, errRestarted):
		g.fleet.markGone(s.ID)
		g.pool.CloseIdle(s.Address)
		if g.fleet.mixed(s.Service) {
			g.origins.markDoubtfulAmbiguous(s.ID)
		}
	}
	return err
}

// settleOrigins makes the records certain whose servers have been heard from since.
func (g *Gateway) settleOrigins() {
	for _, id := range g.origins.doubtfulServers() {
		if s, ok := g.fleet.incarnation(id); ok {
			g.origins.settle(id, func(d origin.Doubt) bool { return d.SettledBy(s.ReportedAt()) })
		}
	}
}

// settle reports whether a stream is known to have begun at an origin that is in doubt. It asks the
// engine in question if its reports don't tell; confirmed is set if the engine has confirmed that it is
// still the same incarnation.
func (g *Gateway) settle(ctx context.Context, id string, at origin.Origin, d origin.Doubt) (known, confirmed bool) {
	s, ok := g.fleet.incarnation(d.Server)
	if ok && d.SettledBy(s.ReportedAt()) {
		return true, false
	}
	mixed := g.fleet.mixed(at.Service)
	if !ok || g.fleet.replaced(s.ID) || g.evacuated.has(s.Zone) {
		return !mixed, false
	}
	table := g.table.Load()
	if table == nil || table.Service(at.Service) == nil {
		return false, false
	}
	err := g.askIncarnation(ctx, &request{id: id, service: table.Service(at.Service)}, &s)
	return err == nil || !mixed && !errors.Is(err, errRestarted), err == nil
}

// settleForReturn is settle for the stream of a caller that returns. The engine that has confirmed
// itself need not do so again when it continues the stream.
func (g *Gateway) settleForReturn(ctx context.Context, q *request, at origin.Origin, d origin.Doubt) bool {
	known, confirmed := g.settle(ctx, q.id, at, d)
	if confirmed {
		q.confirmedBy, q.confirmedAt = d.Server, g.clock.Now()
	}
	return known
}

// soleVersionTimeout bounds how long an engine may take to confirm its incarnation while all servers have
// one version: then only an answer that names another start matters.
const soleVersionTimeout = 60 * time.Millisecond

// settleWithinAnswer is settle for a stream that is about to continue within its answer. While all
// servers have one version, an engine that has just failed does not hold it up.
func (g *Gateway) settleWithinAnswer(ctx context.Context, q *request, at origin.Origin, d origin.Doubt) bool {
	if !g.fleet.mixed(at.Service) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, soleVersionTimeout)
		defer cancel()
	}
	known, _ := g.settle(ctx, q.id, at, d)
	return known
}
