package gateway

import (
	"time"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/wire"
)

// Minimum times between two updates if no reservation has changed.
const (
	// progressInterval applies to the progress of runs: some events of a run.
	progressInterval = 160 * time.Millisecond
	// outcomeInterval applies to successful requests: a fraction of the time for which they count.
	outcomeInterval = 500 * time.Millisecond
	// rateInterval applies to the rates of arrivals, which are averages over two seconds.
	rateInterval = 500 * time.Millisecond
)

// pendingLoads is what has happened since the last update to the other gateways.
type pendingLoads struct {
	// changed is set if reservations have changed or requests have failed, grown if runs have
	// progressed, and ended if requests have ended.
	changed, grown, ended bool
	// sentAt is when the last update was sent, and queued the number of waiting requests and
	// demand the demand in it; failures is set if it reported some, which have to be retracted.
	sentAt   time.Time
	queued   int
	demand   []demand.Class
	failures bool
	// requests is the rate of all requests in it.
	requests int
}

// due reports whether an update has to be sent, given the number of requests that wait now, the demand
// and the rate of all requests.
func (p *pendingLoads) due(now time.Time, queued int, list []demand.Class, requests int) bool {
	passed, change := now.Sub(p.sentAt), demand.Compare(p.demand, list)
	switch {
	case p.changed, queued != p.queued, change == demand.Waits:
		return true
	case (change == demand.Rates || demand.RateChanged(p.requests, requests)) && passed >= rateInterval:
		return true
	case p.grown && passed >= progressInterval:
		return true
	}
	return (p.ended || p.failures) && passed >= outcomeInterval
}

// pendingUpdate returns the update for the other gateways: this gateway's reservations, the number
// of its waiting requests, the demand, and the recent outcomes of its requests; nil if nothing has to be sent.
func (f *fleet) pendingUpdate(now time.Time) *wire.Loads {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.demand(now)
	requests := f.requests.Read(now)
	if !f.pending.due(now, f.queue.Len(), list, requests) {
		return nil
	}
	f.pending = pendingLoads{sentAt: now, queued: f.queue.Len(), demand: list, requests: requests}
	out := &wire.Loads{Queued: f.queue.Len(), Demand: list, Requests: requests}
	loads, seen := f.view.Loads(), f.view.Evidence(now)
	for id, e := range seen {
		f.pending.failures = f.pending.failures || e.Bad > 0 || e.Lost > 0
		out.List = append(out.List, engineLoad(id, loads[id], e))
	}
	for id, l := range loads {
		if _, sent := seen[id]; !sent {
			out.List = append(out.List, engineLoad(id, l, dispatch.Evidence{}))
		}
	}
	return out
}

func engineLoad(id string, l dispatch.Load, e dispatch.Evidence) wire.EngineLoad {
	return wire.EngineLoad{
		Server: id, Tokens: l.Tokens, Prefill: l.Prefill, Runs: l.Runs, Held: l.Held, Good: e.Good, Bad: e.Bad, Witnesses: e.Gateways, Lost: e.Lost,
	}
}
