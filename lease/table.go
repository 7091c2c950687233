package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/internal/pq"
)

// ID identifies an attempt of a request.
type ID struct {
	Req     string `cbor:"1,keyasint" json:"req"`
	Attempt uint32 `cbor:"2,keyasint" json:"attempt"`
}

// State is the state of a lease.
type State uint8

// The states of a lease.
const (
	// Held means that the slot is reserved and its work has not started.
	Held State = iota
	// Running means that the work was sent to the engine.
	Running
	// Cancelling means that a cancel was sent to the engine, which has not
	// confirmed it yet.
	Cancelling
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"held", "running", "cancelling"}[s]
}

// Reason is the reason why a reservation is rejected.
type Reason string

// The reasons. None means that the slot is reserved; Recovery, that the requests
// that the engine runs are not known yet; Duplicate, that the attempt has a lease
// already. NoModel comes from the agent, not from the table.
const (
	None      Reason = ""
	Full      Reason = "full"
	Leaving   Reason = "leaving"
	Duplicate Reason = "duplicate"
	Recovery  Reason = "recovery"
	NoModel   Reason = "model not loaded"
)

// EngineCancel is a cancel that the caller must send to the engine.
type EngineCancel struct {
	ID ID
	// Try is the number of this cancel among those of the attempt, from 1.
	Try int
	// Expired reports whether the lease expired or its owner disconnected.
	Expired bool
}

// Options holds the times of a table.
type Options struct {
	// TTL is the time for which a lease remains valid after its owner's last
	// heartbeat.
	TTL time.Duration
	// CancelInterval is the time between two cancels of one attempt.
	CancelInterval time.Duration
}

// heldLease is a lease in any state.
type heldLease struct {
	id         ID
	owner      string
	state      State
	keep       bool
	timerAt    time.Time // Held: end of the hold. Running: deadline, if set. Cancelling: next cancel.
	cancels    int
	timerIndex int // index in the heap, or -1
}

// owner is an entry that has leases; renewed is its last heartbeat.
type owner struct {
	renewed time.Time
	leases  map[ID]*heldLease
}

// Table holds the leases of one server.
type Table struct {
	opts       Options
	slots      int
	leaving    bool
	recovering bool
	leases     map[ID]*heldLease
	owners     map[string]*owner
	timers     pq.Queue[*heldLease]
}

// New returns a table without leases.
func New(slots int, opts Options) *Table {
	t := &Table{opts: opts, slots: slots, leases: map[ID]*heldLease{}, owners: map[string]*owner{}}
	t.timers.Less = func(a, b *heldLease) bool { return a.timerAt.Before(b.timerAt) }
	t.timers.Moved = func(e *heldLease, index int) { e.timerIndex = index }
	return t
}

// SetSlots changes the number of slots. Leases in excess of it continue.
func (t *Table) SetSlots(n int) { t.slots = n }

// SetTTL changes Options.TTL.
func (t *Table) SetTTL(d time.Duration) { t.opts.TTL = d }

// SetLeaving sets whether the server is leaving. A leaving server rejects all
// reservations.
func (t *Table) SetLeaving(leaving bool) { t.leaving = leaving }

// Leaving reports whether the server accepts no new work.
func (t *Table) Leaving() bool { return t.leaving }

// SetRecovering sets whether all reservations are rejected because the requests
// that the engine runs are not known yet.
func (t *Table) SetRecovering(on bool) { t.recovering = on }

// Used returns the number of leased slots.
func (t *Table) Used() int { return len(t.leases) }

// UsedBy returns the number of slots leased to an owner.
func (t *Table) UsedBy(ownerName string) int {
	o := t.owners[ownerName]
	if o == nil {
		return 0
	}
	return len(o.leases)
}

// Count returns the number of leases in a state.
func (t *Table) Count(s State) int {
	n := 0
	for _, e := range t.leases {
		if e.state == s {
			n++
		}
	}
	return n
}

// Slots returns the number of slots.
func (t *Table) Slots() int { return t.slots }

// State returns the state of a lease, and whether it exists.
func (t *Table) State(id ID) (State, bool) {
	e, ok := t.leases[id]
	if !ok {
		return 0, false
	}
	return e.state, true
}

// Request is a request for a slot.
type Request struct {
	ID    ID
	Owner string
	// Hold is the time within which the work must start.
	Hold time.Duration
	// Keep lets the work continue if its owner's leases expire.
	Keep bool
	// Headroom is the number of slots that must stay free for work of a higher
	// priority.
	Headroom int
}

// Reserve leases a slot, or returns the reason why not.
func (t *Table) Reserve(now time.Time, req Request) Reason {
	switch {
	case t.recovering:
		return Recovery
	case t.leaving:
		return Leaving
	case t.leases[req.ID] != nil:
		return Duplicate
	case len(t.leases)+req.Headroom >= t.slots:
		return Full
	}
	e := &heldLease{id: req.ID, owner: req.Owner, keep: req.Keep, timerAt: now.Add(req.Hold), timerIndex: -1}
	t.add(now, e)
	t.timers.Push(e)
	return None
}

func (t *Table) add(now time.Time, e *heldLease) {
	t.leases[e.id] = e
	o := t.owners[e.owner]
	if o == nil {
		o = &owner{renewed: now, leases: map[ID]*heldLease{}}
		t.owners[e.owner] = o
	}
	o.leases[e.id] = e
}

// Start changes a lease from Held to Running. It reports false if there is no
// held lease.
func (t *Table) Start(id ID) bool {
	e := t.leases[id]
	if e == nil || e.state != Held {
		return false
	}
	e.state = Running
	t.stopTimer(e)
	return true
}

// SetDeadline sets the time at which Tick cancels a running request.
func (t *Table) SetDeadline(id ID, at time.Time) {
	e := t.leases[id]
	if e == nil || e.state != Running {
		return
	}
	t.stopTimer(e)
	e.timerAt = at
	t.timers.Push(e)
}

// Finish releases the slot of an attempt after the engine confirmed that it holds
// nothing of it any more.
func (t *Table) Finish(id ID) {
	e := t.leases[id]
	if e == nil {
		return
	}
	t.stopTimer(e)
	delete(t.leases, id)
	o := t.owners[e.owner]
	delete(o.leases, id)
}

// Cancel ends a lease. A held slot is released at once; a running request is
// cancelled at the engine first.
func (t *Table) Cancel(now time.Time, id ID) []EngineCancel {
	e := t.leases[id]
	if e == nil || e.state == Cancelling {
		return nil
	}
	if e.state == Held {
		t.Finish(id)
		return nil
	}
	return []EngineCancel{t.cancel(now, e)}
}

func (t *Table) cancel(now time.Time, e *heldLease) EngineCancel {
	e.state = Cancelling
	e.cancels++
	e.timerAt = now.Add(t.opts.CancelInterval)
	if e.timerIndex < 0 {
		t.timers.Push(e)
	} else {
		t.timers.Fix(e.timerIndex)
	}
	return EngineCancel{ID: e.id, Try: e.cancels}
}

// Renew renews all leases of an owner.
func (t *Table) Renew(now time.Time, ownerName string) {
	if o := t.owners[ownerName]; o != nil {
		o.renewed = now
	}
}

// CancelOrphan adds a request that the engine runs without a lease, and cancels
// it.
func (t *Table) CancelOrphan(now time.Time, id ID) []EngineCancel {
	if t.leases[id] != nil {
		return nil
	}
	e := &heldLease{id: id, state: Running, timerIndex: -1}
	t.add(now, e)
	return []EngineCancel{t.cancel(now, e)}
}

// ExpireOwner cancels the leases of an owner whose link was lost and not restored
// in time.
func (t *Table) ExpireOwner(now time.Time, ownerName string) []EngineCancel {
	o := t.owners[ownerName]
	if o == nil {
		return nil
	}
	return t.cancelLeases(now, o)
}

// Restore adds a lease for a request that the engine runs and that its owner
// reported after a restart of the agent. It reports false if there is a lease
// already.
func (t *Table) Restore(now time.Time, id ID, ownerName string, keep bool) bool {
	if t.leases[id] != nil {
		return false
	}
	t.add(now, &heldLease{id: id, owner: ownerName, state: Running, keep: keep, timerIndex: -1})
	return true
}

// Tick cancels the leases of owners that sent no heartbeat for the TTL, releases
// slots whose hold expired, cancels requests whose deadline passed, and repeats
// unconfirmed cancels.
func (t *Table) Tick(now time.Time) []EngineCancel {
	out := t.expireOwners(now)
	for t.timers.Len() > 0 && !t.timers.First().timerAt.After(now) {
		e := t.timers.First()
		if e.state == Held {
			t.Finish(e.id)
			continue
		}
		out = append(out, t.cancel(now, e))
	}
	return out
}

func (t *Table) expireOwners(now time.Time) []EngineCancel {
	var out []EngineCancel
	for name, o := range t.owners {
		if len(o.leases) == 0 {
			if now.Sub(o.renewed) > t.opts.TTL {
				delete(t.owners, name)
			}
			continue
		}
		if now.Sub(o.renewed) <= t.opts.TTL {
			continue
		}
		out = append(out, t.cancelLeases(now, o)...)
	}
	sortEffects(out)
	return out
}

// cancelLeases cancels the leases of an owner, except those with Keep, sorted by
// ID.
func (t *Table) cancelLeases(now time.Time, o *owner) []EngineCancel {
	var out []EngineCancel
	for id, e := range o.leases {
		if !e.keep {
			out = append(out, t.Cancel(now, id)...)
		}
	}
	for i := range out {
		out[i].Expired = true
	}
	sortEffects(out)
	return out
}

func sortEffects(list []EngineCancel) {
	slices.SortFunc(list, func(a, b EngineCancel) int {
		return cmp.Or(cmp.Compare(a.ID.Req, b.ID.Req), cmp.Compare(a.ID.Attempt, b.ID.Attempt))
	})
}

// Lease is one row of the state dump.
type Lease struct {
	ID      ID     `json:"id"`
	Owner   string `json:"owner"`
	State   string `json:"state"`
	Cancels int    `json:"cancels,omitempty"`
}

// Dump returns all leases in no particular order.
func (t *Table) Dump() []Lease {
	out := make([]Lease, 0, len(t.leases))
	for id, e := range t.leases {
		out = append(out, Lease{ID: id, Owner: e.owner, State: e.state.String(), Cancels: e.cancels})
	}
	return out
}

func (t *Table) stopTimer(e *heldLease) {
	if e.timerIndex >= 0 {
		t.timers.Remove(e.timerIndex)
	}
}
