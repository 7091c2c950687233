package gateway

import (
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/wire"
)

// Least times between two tellings, if no reservation has changed.
const (
	// grownEvery is for what runs have made: some events of a run.
	progressInterval = 160 * time.Millisecond
	// notedEvery is for requests that went well: a part of the time for which they
	// count.
	outcomeInterval = 500 * time.Millisecond
)

// telling is what has happened since other gateways were told the last time.
type pendingLoads struct {
	// changed tells that reservations have changed or requests have failed, grown that
	// runs have, and noted that requests have ended.
	changed, grown, ended bool
	// at is when they were told, queued how many waiting requests, and failures tells
	// that there were some, which have to be taken back.
	sentAt   time.Time
	queued   int
	failures bool
}

// due tells whether others have to be told, with a number of requests that wait now.
func (t *pendingLoads) due(now time.Time, queued int) bool {
	passed := now.Sub(t.sentAt)
	switch {
	case t.changed, queued != t.queued:
		return true
	case t.grown && passed >= progressInterval:
		return true
	}
	return (t.ended || t.failures) && passed >= outcomeInterval
}

// loads returns what the other gateways have to hear: this gateway's reservations, how
// many of its requests wait, and how its requests went of late; nil if they know it.
func (f *fleet) pendingUpdate(now time.Time) *wire.Loads {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.pending.due(now, f.queue.Len()) {
		return nil
	}
	f.pending = pendingLoads{sentAt: now, queued: f.queue.Len()}
	out := &wire.Loads{Queued: f.queue.Len()}
	loads, seen := f.view.Loads(), f.view.Evidence(now)
	for id, e := range seen {
		f.pending.failures = f.pending.failures || e.Bad > 0
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
		Server: id, Tokens: l.Tokens, Prefill: l.Prefill, Runs: l.Runs, Held: l.Held, Good: e.Good, Bad: e.Bad, Witnesses: e.Gateways,
	}
}
