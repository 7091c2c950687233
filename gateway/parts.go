package gateway

import (
	"context"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/stablehash"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/poison"
)

// Times by which a run shows that the parts of its prompt don't crash servers.
const (
	// beginTime is how long after its first event a run counts as just begun: a server may still send
	// an event before it crashes.
	beginTime = 100 * time.Millisecond
	// survivalTime is how long after its first event a run clears the parts of its prompt.
	survivalTime = 300 * time.Millisecond
	// survivalInterval is the time after which a run may clear them again.
	survivalInterval = 250 * time.Millisecond
)

// Trials of blocked parts. Each gateway may try a part from a time of its own on, so that in the whole
// fleet about one gateway begins in each trialSpacing: by then the others know of a crash. In large
// fleets they are closer, so that none waits longer than maxTrialOffset.
const (
	trialSpacing   = 3 * time.Second
	maxTrialOffset = 5 * time.Minute
	// trialRetry is when a request may come again that is refused while another one tries its part.
	trialRetry = 2 * time.Second
)

// maxSharedParts bounds the parts of one prompt that are tracked.
const maxSharedParts = 256

// sharedParts returns the digests of the parts of a prompt that other prompts may have too: all but the
// last, which is the caller's own text. They are distinct and in order. Like the content, they are
// computed only if needed.
func (g *Gateway) sharedParts(q *request) []poison.Digest {
	parse := g.cfg.Protocol.ParsePartIDs
	if q.sharedParts != nil || parse == nil || q.service.Engine == nil {
		return q.sharedParts
	}
	ids := parse(q.send.Header.Get(g.cfg.Protocol.Headers.PromptParts))
	var list []poison.Digest
	for n := 0; n < min(len(ids)-1, maxSharedParts); n++ {
		list = append(list, poison.PartDigest(q.service.Name, ids[n]))
	}
	q.sharedParts = poison.SortedParts(list)
	if q.sharedParts == nil {
		q.sharedParts = []poison.Digest{}
	}
	return q.sharedParts
}

// maxLoggedParts bounds the parts in a log line.
const maxLoggedParts = 8

// describeParts returns digests for a log line.
func describeParts(list []poison.Digest) []string {
	out := []string{}
	for _, d := range list[:min(len(list), maxLoggedParts)] {
		out = append(out, d.String())
	}
	return out
}

// trial is a blocked part that a request tries, and the number of its endings at that time.
type trial struct {
	part    poison.Digest
	endings int
}

// admit is like blocked for a request that has arrived, and lets it try blocked parts if their time
// for that has come.
func (c *contents) admit(q *request) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blockedFor(q, true)
}

// partsBlockedFor returns for how long a request is still refused because of the parts of its prompt.
// The caller holds c.mu.
func (c *contents) partsBlockedFor(q *request, try bool) time.Duration {
	if !c.table.HasBlocks() {
		return 0
	}
	now, out := c.clock.Now(), time.Duration(0)
	blocks := c.table.BlocksOf(c.parts(q))
	for _, b := range blocks {
		if q.tries(b) {
			continue
		}
		opens := b.Until.Add(c.trialOffset(b.Part))
		switch {
		case now.Before(opens):
			out = max(out, opens.Sub(now))
		case !try || c.trials[b.Part] != nil:
			out = max(out, trialRetry)
		}
	}
	if out > 0 || !try {
		return out
	}
	for _, b := range blocks {
		c.trials[b.Part] = q
		q.trials = append(q.trials, trial{b.Part, b.Endings})
		event.PartTried.Log(c.log, "part", b.Part.String(), "id", q.id, "endings", b.Endings)
		metric.PartTrials.WithLabelValues(q.service.Name).Inc()
	}
	return 0
}

// tries reports whether a request tries a block, which has not become stronger since.
func (q *request) tries(b poison.Block) bool {
	for _, t := range q.trials {
		if t.part == b.Part && t.endings >= b.Endings {
			return true
		}
	}
	return false
}

// trialOffset returns how much later than others this gateway may try a part.
func (c *contents) trialOffset(part poison.Digest) time.Duration {
	window := min(time.Duration(max(c.gateways()-1, 0))*trialSpacing, maxTrialOffset)
	share := float64(stablehash.Pair(c.gateway, stablehash.Name(string(part[:])))) / (1 << 64)
	return time.Duration(share * float64(window))
}

// endTrials ends the trials of a request.
func (c *contents) endTrials(q *request) {
	if len(q.trials) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range q.trials {
		if c.trials[t.part] == q {
			delete(c.trials, t.part)
		}
	}
}

// watch returns a context that ends when the request becomes blocked, while it waits or is being
// prefilled. Until stop is called the request's own goroutine must not compute its digests.
func (c *contents) watch(ctx context.Context, q *request) (watched context.Context, stop context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	c.watchers[q] = cancel
	c.mu.Unlock()
	return ctx, func() {
		c.mu.Lock()
		delete(c.watchers, q)
		c.mu.Unlock()
		cancel()
	}
}

// applyBlocks logs how the blocked parts have changed, and ends the wait of requests that have become
// blocked. The caller holds c.mu.
func (c *contents) applyBlocks() {
	if len(c.logged) == 0 && !c.table.HasBlocks() {
		return
	}
	current, stronger := map[poison.Digest]poison.Block{}, false
	for _, b := range c.table.Blocks() {
		current[b.Part] = b
		if old, logged := c.logged[b.Part]; !logged || old.Endings != b.Endings {
			stronger = true
			event.PartBlocked.Log(c.log, "part", b.Part.String(), "with", describeParts(b.With), "endings", b.Endings, "servers", b.Servers, "trial_ms", c.clock.Until(b.Until).Milliseconds())
		}
	}
	for d, old := range c.logged {
		if _, blocked := current[d]; !blocked {
			event.PartUnblocked.Log(c.log, "part", d.String(), "endings", old.Endings)
		}
	}
	c.logged = current
	if !stronger {
		return
	}
	for q, cancel := range c.watchers {
		if c.blockedFor(q, false) > 0 {
			cancel()
		}
	}
}

// blockedPart describes a blocked part of prompts in a dump.
type blockedPart struct {
	Part string `json:"part"`
	// With are the parts that a prompt must have too to be refused.
	With    []string `json:"with"`
	Endings int      `json:"endings"`
	Servers int      `json:"servers"`
	// TrialMs is the time until the part may be tried again, in milliseconds.
	TrialMs int64 `json:"trial_ms"`
}

func (c *contents) blockedParts() []blockedPart {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []blockedPart
	for _, b := range c.table.Blocks() {
		out = append(out, blockedPart{Part: b.Part.String(), With: describeParts(b.With), Endings: b.Endings, Servers: b.Servers, TrialMs: max(c.clock.Until(b.Until), 0).Milliseconds()})
	}
	return out
}

// recordSurvival records that a request runs on at a server, or has completed. The caller holds c.mu.
func (c *contents) recordSurvival(q *request) {
	if c.table.HasRelevantParts() && c.table.RecordSurvival(c.clock.Now(), c.parts(q)) {
		c.applyBlocks()
	}
}

// noteProgress records that the run of a request goes on.
func (c *contents) noteProgress(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordSurvival(q)
}

// noteProgress records that the run goes on, once it has done so for some time.
func (n *generation) noteProgress() {
	q, now := n.q, n.g.clock.Now()
	if n.stream.fromEvents == 0 {
		return
	}
	if q.firstEventAt.IsZero() {
		q.firstEventAt = now
	}
	if now.Sub(q.firstEventAt) < survivalTime || now.Sub(n.survivalNotedAt) < survivalInterval {
		return
	}
	n.survivalNotedAt = now
	n.g.contents.noteProgress(q)
}
