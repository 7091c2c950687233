package entry

import (
	"hash/fnv"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/wire"
)

// registerTimeout is how long a request with a key waits for the key's home agent,
// which answers within a round trip; as long as the votes of a claim.
const registerTimeout = claimTimeout

// supersede ends an open request with the same key: its caller has asked
// again, and one of the two must not be answered. One at another entry is ended
// through the key's home agent.
func (e *Entry) supersedeOlder(f *Flow) {
	if f.key == "" {
		return
	}
	if old := e.flowsByKey[f.key]; old != nil {
		e.abort(f.arrivedAt, old, fault.Superseded)
	}
	e.flowsByKey[f.key] = f
}

// register tells the key's home agent of a request, and reports whether the
// request starts once that has answered. Which of two attempts is the newer one
// is decided by their order there: an attempt that ran before its report had come
// could be taken for newer than a retry that its caller sent later.
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

// registered starts a request whose home agent has answered, or is not waited
// for any more. Callers hold the lock.
func (e *Entry) startRegistered(now time.Time, id string) {
	if f := e.flows[id]; f != nil {
		e.startFlow(now, f)
	}
}

// start gives a request to the router, once.
func (e *Entry) startFlow(now time.Time, f *Flow) {
	if start := f.arrive; start != nil {
		f.arrive = nil
		start(now)
	}
}

// homeOf returns the agent of this zone that keeps a key, by the highest hash,
// so that all entries of the zone that see the same agents agree.
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

// superseded ends a request whose caller has asked again at another entry.
func (e *Entry) handleSuperseded(now time.Time, m *wire.Superseded) {
	if f := e.flows[m.Req]; f != nil {
		e.abort(now, f, fault.Superseded)
	}
}
