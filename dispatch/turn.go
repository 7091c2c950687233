package dispatch

import (
	"math"
	"time"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
)

// While requests wait at several gateways for seconds at a time, all gateways learn of a free
// slot within some tens of milliseconds of each other. Each waiting request has a position among
// all: behind the more urgent ones, and among equals in the order that the replicas give the
// gateways. A request may use a free slot if there are more free slots than requests before it,
// and then chooses the engine as if nothing waited. If requests of several gateways choose the
// same slot, the engine's own reservation decides.
//
// An order of the slots, in which the request at position r uses the r-th one, served fewer
// requests: the reservations of a view are older than the order, and the engines that come first
// in it are filled by several gateways at once until they run out of memory.

// slotInterval is the time after which a slot that remains unused passes to the next
// position: about the age of a gateway's view of the others.
const slotInterval = 100 * time.Millisecond

// maxCounted bounds the engines at which free slots are counted, so that the cost of a choice
// doesn't grow with the fleet.
const maxCounted = 64

// maxSlotSteps bounds the steps after which a slot may be used from any position.
const maxSlotSteps = 20

// Position is the place of a request among those that wait at all gateways.
type Position struct {
	// Ahead is the number of requests at other gateways that come before it, and Behind that of
	// the others. Unknown is the number of those ahead that are waiting at gateways of an older
	// build, whose urgency is not known.
	Ahead, Behind, Unknown int
	// Mixed reports that requests to the service differ in urgency.
	Mixed bool
}

// draws reports whether free slots are drawn at random: also if all requests have the same urgency,
// since positions then serve fewer requests in time while one organisation sends a burst.
func (p Position) draws() bool { return p.Unknown > 0 || !p.Mixed }

// Waiting names what waited at other gateways, for the metrics.
func (p Position) Waiting() string {
	switch {
	case p.Ahead > 0:
		return "behind"
	case p.Behind > 0:
		return "first"
	}
	return "none"
}

// Position returns the place of a request, apart from the requests of its own gateway.
func (f *Fleet) Position(w Work) Position {
	var p Position
	if f.restricted(w) {
		return p // before all others, see version.go
	}
	waiting := 0
	for i := range f.Others.Demand {
		c := &f.Others.Demand[i]
		waiting += c.Waiting
		if c.Service != w.Service {
			continue
		}
		switch order := w.Urgency.Compare(route.Urgency{Organisation: c.Organisation, Route: c.Route}); {
		case order > 0:
			p.Ahead += c.Waiting
			p.Mixed = true
		case order < 0:
			p.Behind += c.Waiting
			p.Mixed = true
		default:
			before := min(c.Before, c.Waiting)
			p.Ahead += before
			p.Behind += c.Waiting - before
		}
	}
	p.Unknown = max(f.Others.Queued-waiting, 0)
	p.Ahead += p.Unknown
	if !p.Mixed {
		p.Ahead, p.Behind = p.Ahead+p.Behind, 0
	}
	return p
}

// turn is the turn of a request in one choice. The free slots are counted when the first engine
// with capacity is found.
type turn struct {
	position Position
	counted  bool
	// free is the number of free slots.
	free int
}

// mayUse reports whether a request that an engine has capacity for may use it now.
func (f *Fleet) mayUse(now time.Time, s *Server, w Work, e *route.Engine, t *turn) bool {
	switch {
	case t.position.Ahead == 0 || e.KVTokens <= 0:
		return true
	case t.position.draws():
		return f.winsDraw(now, s, w, e, t.position.Ahead)
	}
	if !t.counted {
		t.counted, t.free = true, f.countFreeSlots(now, w, e, t.position.Ahead+1)
	}
	steps := min(int(now.Sub(s.slotsSince)/slotInterval), maxSlotSteps)
	return t.position.Ahead-t.free+1 < 1<<steps
}

// countFreeSlots returns the number of free slots for requests like w, or a lower number that is
// enough. Of a large group it looks at some engines and assumes that the others are like them.
func (f *Fleet) countFreeSlots(now time.Time, w Work, e *route.Engine, enough int) int {
	key := group{w.Service, registry.Decode}
	list := f.group(now, w.Service, registry.Decode)
	n := min(len(list), maxCounted)
	all := max(f.groupSizes[key], len(list)+f.excluded[key])
	perSlot := float64(all) / float64(max(n, 1))
	free := 0.0
	for i := 0; i < n && free < float64(enough); i++ {
		s := list[(f.cursor+i)%len(list)]
		if f.fits(s, w, e) && f.eligibleFor(now, s, w, nil) {
			free += perSlot * math.Floor(f.freeSlots(s, w, e))
		}
	}
	return int(free)
}

// noteSlots records since when the number of runs of an engine is the same.
func (s *Server) noteSlots(now time.Time) {
	if runs := s.Own.Runs + s.Others.Runs; runs != s.seenRuns {
		s.seenRuns, s.slotsSince = runs, now
	}
}
