package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/internal/pq"
)

// ID names one attempt of one request at this server.
type ID struct {
	Req     string `cbor:"1,keyasint" json:"req"`
	Attempt uint32 `cbor:"2,keyasint" json:"attempt"`
}

// State is how far a lease has come.
type State uint8

// The states of a lease.
const (
	// Held means that the slot waits for its work.
	Held State = iota
	// Running means that the engine has been asked to work.
	Running
	// Cancelling means that the engine has been told to stop and has not
	// confirmed it.
	Cancelling
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"held", "running", "cancelling"}[s]
}

// Reason tells why a slot was not given.
type Reason string

// The reasons for a refusal.
const (
	None      Reason = ""
	Full      Reason = "full"
	Leaving   Reason = "leaving"
	Duplicate Reason = "duplicate"
	Recovery  Reason = "recovery"
	NoModel   Reason = "model not loaded"
)

// Effect asks the shell to cancel a request at the engine.
type EngineCancel struct {
	ID ID
	// Try counts the cancels of this request, from 1.
	Try int
	// Expired tells that the owner was silent for too long, or is gone.
	Expired bool
}

// Options are the fixed times of a table.
type Options struct {
	// Time is how long a lease outlives the silence of its owner.
	TTL time.Duration
	// CancelEvery is the time between two cancels of one request.
	CancelInterval time.Duration
}

type heldLease struct {
	id         ID
	owner      string
	state      State
	keep       bool
	timerAt    time.Time // Held: end of the hold. Running: its limit. Cancelling: next cancel.
	cancels    int
	timerIndex int // index in the heap, or -1
}

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

// New returns a table with a number of slots.
func New(slots int, opts Options) *Table {
	t := &Table{opts: opts, slots: slots, leases: map[ID]*heldLease{}, owners: map[string]*owner{}}
	t.timers.Less = func(a, b *heldLease) bool { return a.timerAt.Before(b.timerAt) }
	t.timers.Moved = func(e *heldLease, index int) { e.timerIndex = index }
	return t
}

// SetSlots changes the number of slots; leases over it go on.
func (t *Table) SetSlots(n int) { t.slots = n }

// SetTime changes how long a lease outlives the silence of its owner.
func (t *Table) SetTTL(d time.Duration) { t.opts.TTL = d }

// SetLeaving tells that the server is leaving, or is back.
func (t *Table) SetLeaving(leaving bool) { t.leaving = leaving }

// Leaving tells whether the server takes no new work.
func (t *Table) Leaving() bool { return t.leaving }

// SetRecovering refuses all reservations until the requests that the engine
// runs are known.
func (t *Table) SetRecovering(on bool) { t.recovering = on }

// Used counts the slots under lease.
func (t *Table) Used() int { return len(t.leases) }

// UsedBy counts the slots under lease of one owner.
func (t *Table) UsedBy(ownerName string) int {
	o := t.owners[ownerName]
	if o == nil {
		return 0
	}
	return len(o.leases)
}

// Count counts the leases in a state.
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

// State returns the state of a lease.
func (t *Table) State(id ID) (State, bool) {
	e, ok := t.leases[id]
	if !ok {
		return 0, false
	}
	return e.state, true
}

// Ask is a wish for a slot.
type Request struct {
	ID    ID
	Owner string
	// Hold is how long the slot waits for its work.
	Hold time.Duration
	// Keep lets the work outlive its owner.
	Keep bool
	// Spare is the number of slots that must stay free, for work of a higher
	// priority.
	Headroom int
}

// Reserve gives a slot, or says why not.
func (t *Table) Reserve(now time.Time, a Request) Reason {
	switch {
	case t.recovering:
		return Recovery
	case t.leaving:
		return Leaving
	case t.leases[a.ID] != nil:
		return Duplicate
	case len(t.leases)+a.Headroom >= t.slots:
		return Full
	}
	e := &heldLease{id: a.ID, owner: a.Owner, keep: a.Keep, timerAt: now.Add(a.Hold), timerIndex: -1}
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

// Start moves a held lease to Running; it reports false if id holds none.
func (t *Table) Start(id ID) bool {
	e := t.leases[id]
	if e == nil || e.state != Held {
		return false
	}
	e.state = Running
	t.stopTimer(e)
	return true
}

// Limit sets the moment at which a running request is cancelled by itself.
func (t *Table) SetDeadline(id ID, at time.Time) {
	e := t.leases[id]
	if e == nil || e.state != Running {
		return
	}
	t.stopTimer(e)
	e.timerAt = at
	t.timers.Push(e)
}

// Finish frees the slot of id: the engine holds nothing of it any more.
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

// Cancel gives up a lease. A held slot is free at once; a running request is
// cancelled at the engine.
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

// Seen renews all leases of an owner.
func (t *Table) Renew(now time.Time, ownerName string) {
	if o := t.owners[ownerName]; o != nil {
		o.renewed = now
	}
}

// Adopt enters a request that the engine runs and nobody holds a lease for.
// It is cancelled at once.
func (t *Table) CancelOrphan(now time.Time, id ID) []EngineCancel {
	if t.leases[id] != nil {
		return nil
	}
	e := &heldLease{id: id, state: Running, timerIndex: -1}
	t.add(now, e)
	return []EngineCancel{t.cancel(now, e)}
}

// Gone gives up all leases of an owner whose link has closed and not come back.
func (t *Table) ExpireOwner(now time.Time, ownerName string) []EngineCancel {
	o := t.owners[ownerName]
	if o == nil {
		return nil
	}
	return t.cancelLeases(now, o)
}

// Claim enters a request that the engine runs for an owner that knows it, after
// a restart of the agent. It reports false if the table has it already.
func (t *Table) Restore(now time.Time, id ID, ownerName string, keep bool) bool {
	if t.leases[id] != nil {
		return false
	}
	t.add(now, &heldLease{id: id, owner: ownerName, state: Running, keep: keep, timerIndex: -1})
	return true
}

// Tick gives up the leases of silent owners and holds that ran out, and
// repeats cancels that are due.
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

// giveUp cancels the leases of an owner, in the order of their IDs.
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

// Dump lists all leases.
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
