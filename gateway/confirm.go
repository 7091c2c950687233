package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
)

// A server that restarts under its name and address, perhaps with another software version, gets
// requests for its earlier incarnation until it has reported itself: neither requests nor answers name
// incarnations. A new stream may begin at either, but one that continues may not.

// confirmTimeout bounds how long an engine may take to confirm its incarnation.
const confirmTimeout = 300 * time.Millisecond

var errNoReport = errors.New("no report")

var errUnconfirmed = errors.New("gateway: the engine did not confirm that it is still the same incarnation")

// confirmContinuation returns an error unless the incarnation of an engine that is about to continue a
// stream is confirmed. New streams need no confirmation.
func (n *generation) confirmContinuation(ctx context.Context, s *dispatch.Server) error {
	if !n.q.continues && !n.stream.started {
		return nil
	}
	err := n.g.confirmIncarnation(ctx, n.q, s)
	if errors.Is(err, errRestarted) {
		n.g.fleet.markGone(s.ID)
		n.g.pool.CloseIdle(s.Address)
	}
	return err
}

// confirmIncarnation asks an engine for the start of its process. Engines that do not report it are
// taken for the same.
func (g *Gateway) confirmIncarnation(ctx context.Context, q *request, s *dispatch.Server) error {
	p := &g.cfg.Protocol
	if s.Born == 0 || p.Report == nil || p.ParseReport == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	res, body := g.exchange(ctx, q, s, g.callTo(q, s, p.Report()))
	switch res.kind {
	case misdirected:
		return errRestarted
	case answered:
	default:
		return fmt.Errorf("%w: %v, %w", errUnconfirmed, res.kind, cmp.Or(res.err, errNoReport))
	}
	report, err := p.ParseReport(body)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnconfirmed, err)
	}
	if report.Born != s.Born {
		return errRestarted
	}
	return nil
}
