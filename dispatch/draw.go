package dispatch

import (
	"math"
	"time"

	"github.com/ledgepin/ledgepin/internal/mix"
	"github.com/ledgepin/ledgepin/route"
)

// While requests wait at several gateways, all of them hear at the same time that
// an engine has room for one of them. If each took it, the engine would have a
// multiple of what it can hold. So each takes it with a chance that lets about as
// many requests in as there is room for, drawn anew after a while.

// turnTime is how long a draw holds: the time in which gateways hear of each
// other.
const slotDrawInterval = 80 * time.Millisecond

// turn tells whether this gateway may take room at an engine now.
func (f *Fleet) winsDraw(now time.Time, s *Server, w Work, e *route.Engine) bool {
	if f.Others.Queued <= 0 || e.KVTokens <= 0 {
		return true
	}
	chance := f.freeSlots(s, w, e) / float64(f.Others.Queued+1)
	if chance >= 1 {
		return true
	}
	interval := uint64(now.UnixNano() / int64(slotDrawInterval))
	draw := mix.Pair(mix.Pair(f.gatewayKey, interval), mix.Name(s.ID))
	return float64(draw) < chance*math.MaxUint64
}

// places is the number of requests like one for which an engine has room.
func (f *Fleet) freeSlots(s *Server, w Work, e *route.Engine) float64 {
	memory := float64(e.KVTokens)
	atEnd := (MemoryOvercommit*memory - float64(f.reservedTokens(s))) / float64(max(w.finalTokens(), 1))
	now := (fullLevel*memory - float64(f.currentTokens(s))) / float64(max(w.currentTokens(), 1))
	return max(min(atEnd, now), 1)
}
