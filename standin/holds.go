package standin

import (
	"fmt"
	"net/http"
	"path"
	"strconv"
	"time"
)

const (
	// HoldPath and platformHoldPath are where an engine reserves a slot, in ledgepin's protocol
	// and in that of the users' platform.
	HoldPath         = "/hold"
	platformHoldPath = "/-/hold-"
)

// SetSlots bounds the requests that an engine runs and the slots that it reserves, together.
func (b *Backend) SetSlots(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slots = n
}

// Holds returns the number of reserved slots and the number of all reservations so far.
func (b *Backend) Holds() (now, ever int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireHolds()
	return len(b.holds), b.holdCount
}

// serveHold reserves a slot or releases one.
func (b *Backend) serveHold(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Method == http.MethodDelete {
		delete(b.holds, path.Base(r.URL.Path))
		return
	}
	if b.full() {
		w.Header().Set(b.headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if b.holds == nil {
		b.holds = map[string]time.Time{}
	}
	b.holdCount++
	hold := strconv.Itoa(b.holdCount)
	b.holds[hold] = time.Now()
	fmt.Fprintf(w, `{"hold":%q}`, hold)
}

// full reports whether no slot is free. The caller holds b.mu.
func (b *Backend) full() bool {
	b.expireHolds()
	return b.slots > 0 && b.running+len(b.holds) >= b.slots
}

// holdTTL is the longest time for which a slot stays reserved.
const holdTTL = 2 * time.Second

// expireHolds drops the expired holds. The caller holds b.mu.
func (b *Backend) expireHolds() {
	for hold, since := range b.holds {
		if time.Since(since) > holdTTL {
			delete(b.holds, hold)
		}
	}
}

// admit uses up a request's hold, or reports whether a slot is free for a request without one.
func (b *Backend) admit(hold string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.holds[hold]; ok {
		delete(b.holds, hold)
		return true
	}
	return hold == "" && !b.full()
}
