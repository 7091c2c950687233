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

// phase is the current phase of a request.
type phase uint8

const (
	queued phase = iota
	reserving
	prefilling
	seeking   // the prefill is done and a decode slot is needed
	importing // the decode engine fetches the KV cache
	decoding
	ended
)

// String returns the phase as the state dump shows it.
func (p phase) String() string {
	return [...]string{"queued", "reserving", "prefilling", "seeking", "importing", "decoding", "ended"}[p]
}

// reservation is the slot of an attempt at its prefill or its decode server.
type reservation struct {
	server *placement.Server
	// held reports whether the view counts the slot as used by this entry.
	held bool
	// granted and rejected are the agent's answer; both are false until it
	// arrives.
	granted  bool
	rejected bool
}

// request is the state of an open request.
type request struct {
	Request
	arrived         time.Time
	deadline        time.Time
	phase           phase
	attempt         uint32
	prefill, decode reservation
	// reserveDecodeAt is when to reserve the decode slot of a long prefill; zero
	// if the slot is reserved together with the prefill slot.
	reserveDecodeAt time.Time
	// prefillTokens is the prefill work of this attempt, without the expected
	// cached tokens.
	prefillTokens int
	kv            engine.KV
	kvAttempt     lease.ID // the attempt whose prefill produced kv
	kvExpires     time.Time
	// ran reports whether a prefill was started in any attempt.
	ran bool
	// generated is the number of tokens that the caller has received.
	generated    int
	firstTokenAt time.Time
	software     string // version of the decode server that sent the first token
	avoid        string // the server that failed the request last
	refusals     int    // reservations rejected by agents in a row
	record       *decision.Record
	timerAt      time.Time
	stalledAt    time.Time // when a running prefill counts as stalled
	timerIndex   int       // index in the heap of timers, or -1
	lastTokenAt  time.Time // end of the transfer until the first token arrives
	transferAt   time.Time
	transferring bool // whether the view counts a transfer on both links
}

// id returns the ID of the current attempt.
func (r *request) id() lease.ID { return lease.ID{Req: r.ID, Attempt: r.attempt} }

// query returns the query for the next choice of servers. The tokens that the
// caller has received are part of the prompt of a retry.
func (r *request) query() placement.Query {
	return placement.Query{
		Model: r.Model, Priority: r.Priority, Tokens: r.Tokens + r.generated, Prefixes: r.Prefixes,
		KVBytes: r.KVBytes, TBT: r.TBT, Avoid: r.avoid, Continues: r.generated > 0, Software: r.software,
	}
}

// Core is the state machine of the router. It is not safe for concurrent use.
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

// New returns a Core that places requests on the servers of view.
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

// SetLimits changes the limits that come from the settings.
func (c *Core) SetLimits(queueLimit, retryPercent int, stallAfter time.Duration) {
	c.opts.QueueLimit = queueLimit
	c.opts.StallAfter = stallAfter
	c.budget.SetPercent(retryPercent)
}

// SetDraining makes the router refuse all new requests.
func (c *Core) SetDraining() { c.draining = true }

// View returns the view of the servers. It must be guarded by the same lock as
// the Core.
func (c *Core) View() *placement.View { return c.view }

// Stats returns the counters since the start.
func (c *Core) Stats() Stats { return c.stats }

// Open returns the number of open requests.
func (c *Core) Open() int { return len(c.reqs) }

// Waiting returns the number of requests in the queues.
func (c *Core) Waiting() int { return c.waiting }

// OpenOf returns the number of open requests of a customer.
func (c *Core) OpenOf(customer string) int { return c.openByCustomer[customer] }

// OpenByCustomer returns the number of open requests of each customer.
func (c *Core) OpenByCustomer() map[string]int { return maps.Clone(c.openByCustomer) }

// Explain returns the decision record of a request, if it is still kept.
func (c *Core) Explain(id string) (decision.Record, bool) { return c.records.Find(id) }

// RetryCounts returns how many retries the budget allowed and denied.
func (c *Core) RetryCounts() (spent, denied int) { return c.budget.Counts() }

// TakeRetry takes one retry from the budget, for a call that does not go through
// the queues. It reports whether the budget allows it.
func (c *Core) TakeRetry() bool { return c.budget.Take() }

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// takeEffects returns the effects collected since the last call and clears them.
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

// current returns the request whose current attempt is id, or nil.
func (c *Core) current(id lease.ID) *request {
	r := c.reqs[id.Req]
	if r == nil || r.attempt != id.Attempt {
		return nil
	}
	return r
}

// setTimer sets the time at which Tick calls timeout for the request.
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
