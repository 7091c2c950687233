package dispatch

import (
	"math"
	"time"

	"github.com/ledgepin/ledgepin/internal/stablehash"
	"github.com/ledgepin/ledgepin/route"
)

// While all requests have the same urgency, or some wait at gateways of a build that reports no
// urgency, positions are not used (see turn.go), and all gateways learn at the same time that an
// engine has capacity for one request. If each gateway used it, the engine would get many times
// what it can hold. So each uses it with a probability that admits about as many requests as
// there are free slots, and draws again after an interval.

// slotDrawInterval is the time for which a draw holds: the time in which gateways learn of
// each other's reservations.
const slotDrawInterval = 80 * time.Millisecond

// winsDraw reports whether this gateway may use capacity at an engine now, given the number of
// requests at other gateways that are as urgent or more.
func (f *Fleet) winsDraw(now time.Time, s *Server, w Work, e *route.Engine, waiting int) bool {
	if waiting <= 0 || e.KVTokens <= 0 {
		return true
	}
	chance := f.freeSlots(s, w, e) / float64(waiting+1)
	if chance >= 1 {
		return true
	}
	interval := uint64(now.UnixNano() / int64(slotDrawInterval))
	draw := stablehash.Pair(stablehash.Pair(f.gatewayKey, interval), stablehash.Name(s.ID))
	return float64(draw) < chance*math.MaxUint64
}

// freeSlots returns the number of requests like w for which an engine has capacity, at least
// one.
func (f *Fleet) freeSlots(s *Server, w Work, e *route.Engine) float64 {
	memory := (1 - w.headroom) * float64(e.KVTokens)
	atEnd := (MemoryOvercommit*memory - float64(f.reservedTokens(s))) / float64(max(w.finalTokens(), 1))
	now := (f.fullLevel(s, e, 1)*memory - float64(f.currentTokens(s))) / float64(max(w.currentTokens(), 1))
	free := min(atEnd, now)
	if e.Slots > 0 {
		free = min(free, float64(e.Slots-s.Own.Runs-s.Others.Runs))
	}
	return max(free, 1)
}
