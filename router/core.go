package router

import (
	"maps"
	"time"

	"github.com/ledgepin/ledgepin/admission"
	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/internal/pq"
	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/placement"
	"github.com/ledgepin/ledgepin/retry"
)

// phase is how far a request has come.
type phase uint8

const (
	queued phase = iota
	reserving
	prefilling
	seeking   // has a KV cache and looks for a decode slot
	importing // the decode engine fetches the KV cache
	decoding
	ended
)

// String returns the name of the phase.
func (p phase) String() string {
	return [...]string{"queued", "reserving", "prefilling", "seeking", "importing", "decoding", "ended"}[p]
}

// half is one server of an attempt.
type reservation struct {
	server *placement.Server
	// held tells that the entry counts a slot at the server as its own.
	held bool
	// given tells that the agent has granted the reservation.
	granted bool
	// refused tells that the agent has not.
	rejected bool
}

// request is one request in the router's hands.
type request struct {
	Request
	arrived         time.Time
	deadline        time.Time
	phase           phase
	attempt         uint32
	prefill, decode reservation
	// lead is when the decode slot of a long prefill is to be reserved; zero if
	// it is reserved from the start.
	reserveDecodeAt time.Time
	// work is the prefill work of this attempt in tokens.
	prefillTokens int
	kv            engine.KV
	kvAttempt     lease.ID
	kvExpires     time.Time
	// ran tells that an engine was asked to work.
	ran bool
	// sofar counts the tokens that the caller has.
	generated    int
	firstTokenAt time.Time
	avoid        string
	refusals     int
	record       *decision.Record
	timerAt      time.Time
	stalledAt    time.Time // when a running prefill counts as stalled
	timerIndex   int
	lastTokenAt  time.Time
	transferAt   time.Time
	transferring bool // a transfer is counted on the links
}

// id names the present attempt.
func (r *request) id() lease.ID { return lease.ID{Req: r.ID, Attempt: r.attempt} }

// query returns what the next choice has to serve.
func (r *request) query() placement.Query {
	return placement.Query{
		Model: r.Model, Priority: r.Priority, Tokens: r.Tokens + r.generated, Prefixes: r.Prefixes,
		KVBytes: r.KVBytes, TBT: r.TBT, Avoid: r.avoid,
	}
}

// Core is the state of the router. It is not safe for concurrent use.
type Core struct {
	opts           Options
	view           *placement.View
	queues         map[string]*admission.Queue
	waiting        int
	reqs           map[string]*request
	timers         pq.Queue[*request]
	awaitingDecode map[string]*request
	budget         *retry.Budget
	openByCustomer map[string]int
	serviceRates   map[rateKey]*serviceRate
	records        *decision.Ring
	stats          Stats
	draining       bool
	effects        []Effect
	lastShed       time.Time
}

// New returns a router over a view of the servers.
func New(view *placement.View, o Options) *Core {
	c := &Core{
		opts: o, view: view, queues: map[string]*admission.Queue{}, reqs: map[string]*request{},
		awaitingDecode: map[string]*request{}, budget: retry.NewBudget(o.RetryPercent), openByCustomer: map[string]int{},
		serviceRates: map[rateKey]*serviceRate{}, records: decision.NewRing(max(o.MaxRecords, 1)),
		stats: Stats{WastedTokens: map[WasteCause]int{}},
	}
	c.timers.Less = func(a, b *request) bool { return a.timerAt.Before(b.timerAt) }
	c.timers.Moved = func(r *request, index int) { r.timerIndex = index }
	return c
}

// SetLimits takes new limits from the settings.
func (c *Core) SetLimits(queueLimit, retryPercent int, stallAfter time.Duration) {
	c.opts.QueueLimit = queueLimit
	c.opts.StallAfter = stallAfter
	c.budget.SetPercent(retryPercent)
}

// SetDraining makes the router refuse all new requests.
func (c *Core) SetDraining() { c.draining = true }

// View returns the view of the servers; the caller must hold the same lock as
// for the Core.
func (c *Core) View() *placement.View { return c.view }

// Stats returns the counts.
func (c *Core) Stats() Stats { return c.stats }

// Open counts the requests that have not ended.
func (c *Core) Open() int { return len(c.reqs) }

// Waiting counts the requests in the queues.
func (c *Core) Waiting() int { return c.waiting }

// OpenOf counts the open requests of a customer.
func (c *Core) OpenOf(customer string) int { return c.openByCustomer[customer] }

// OpenByCustomer counts the open requests of each customer.
func (c *Core) OpenByCustomer() map[string]int { return maps.Clone(c.openByCustomer) }

// Explain returns the record of a request.
func (c *Core) Explain(id string) (decision.Record, bool) { return c.records.Find(id) }

// Budget returns the counts of retries allowed and denied.
func (c *Core) RetryCounts() (spent, denied int) { return c.budget.Counts() }

// TakeRetry takes one retry out of the budget, for a plain call.
func (c *Core) TakeRetry() bool { return c.budget.Take() }

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// take returns the effects gathered by a call.
func (c *Core) takeEffects() []Effect {
	out := c.effects
	c.effects = nil
	return out
}

func (c *Core) addStep(now time.Time, r *request, s decision.Step) {
	s.At = now
	s.Attempt = r.attempt
	s.Process = c.opts.Name
	r.record.Add(s)
}

func (c *Core) queue(model string) *admission.Queue {
	q := c.queues[model]
	if q == nil {
		q = admission.New()
		c.queues[model] = q
	}
	return q
}

// current returns the request whose present attempt is id, or nil.
func (c *Core) current(id lease.ID) *request {
	r := c.reqs[id.Req]
	if r == nil || r.attempt != id.Attempt {
		return nil
	}
	return r
}

// setDue sets the moment at which Tick looks at the request again.
func (c *Core) setTimer(r *request, at time.Time) {
	r.timerAt = at
	if r.timerIndex < 0 {
		c.timers.Push(r)
		return
	}
	c.timers.Fix(r.timerIndex)
}

func (c *Core) stopTimer(r *request) {
	if r.timerIndex >= 0 {
		c.timers.Remove(r.timerIndex)
	}
}
