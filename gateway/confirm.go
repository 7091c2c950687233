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

// confirmContinuation asks an engine that is about to continue a stream for its incarnation, and returns
// an error unless it is the right one. confirmed is false for a new stream, which needs no confirmation,
// and for an engine that does not report its start.
func (n *generation) confirmContinuation(ctx context.Context, s *dispatch.Server) (confirmed bool, err error) {
	if !n.q.continues && !n.stream.started {
		return false, nil
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

// confirmIncarnation asks an engine for the start of its process. Engines that do not report it are
// taken for the same.
func (g *Gateway) confirmIncarnation(ctx context.Context, q *request, s *dispatch.Server) (confirmed bool, err error) {
	p := &g.cfg.Protocol
	if s.Born == 0 || p.Report == nil || p.ParseReport == nil {
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
	if !s.SameIncarnation(report.Born) {
		return false, errRestarted
	}
	return report.Born != 0, nil
}
