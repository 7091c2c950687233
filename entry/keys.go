package entry

import (
	"hash/fnv"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/wire"
)

// registerTimeout is how long a request with a key waits for the key's home agent,
// which answers within a round trip: the same time as for the votes of a claim.
const registerTimeout = claimTimeout

// supersedeOlder ends an open request with the same key: its caller has sent the
// request again, and only one of the two may be answered. A request at another entry
// is ended through the key's home agent.
func (e *Entry) supersedeOlder(f *Flow) {
	if f.key == "" {
		return
	}
	if old := e.flowsByKey[f.key]; old != nil {
		e.abort(f.arrivedAt, old, fault.Superseded)
	}
	e.flowsByKey[f.key] = f
}

// register registers a request at the home agent of its key, and reports whether the
// request has to wait for the agent's answer. The order of registrations decides which
// of two attempts is the newer one. If an attempt ran before it was registered, it
// could be registered after a retry that its caller sent later, and supersede it.
func (e *Entry) register(f *Flow) bool {
	if f.key == "" {
		return false
	}
	home := e.homeAgent(f.key)
	if home == "" || !e.sendToAgent(home, &wire.Message{Register: &wire.Register{Key: f.key, Req: f.ID}}) {
		return false
	}
	time.AfterFunc(registerTimeout, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.startRegistered(clock.VM.Now(), f.ID)
	})
	return true
}

// startRegistered starts a request whose home agent has answered or timed out.
// Callers hold the lock.
func (e *Entry) startRegistered(now time.Time, id string) {
	if f := e.flows[id]; f != nil {
		e.startFlow(now, f)
	}
}

// startFlow passes a request to the router, once.
func (e *Entry) startFlow(now time.Time, f *Flow) {
	if start := f.arrive; start != nil {
		f.arrive = nil
		start(now)
	}
}

// homeAgent returns the connected agent of this zone at which a key is registered, or "" if
// there is none. It is the one with the highest hash of name and key, so that all entries
// of the zone that are connected to the same agents choose the same one.
func (e *Entry) homeAgent(key string) string {
	best, maxSum := "", uint64(0)
	for name, a := range e.agents {
		if a.link == nil || a.placed.Zone != e.cfg.Zone {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(name + "/" + key))
		if sum := h.Sum64(); best == "" || sum > maxSum {
			best, maxSum = name, sum
		}
	}
	return best
}

// handleSuperseded ends a request that its caller has sent again to another entry.
func (e *Entry) handleSuperseded(now time.Time, m *wire.Superseded) {
	if f := e.flows[m.Req]; f != nil {
		e.abort(now, f, fault.Superseded)
	}
}
