package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/stablehash"
	"github.com/ledgepin/ledgepin/poison"
	"github.com/ledgepin/ledgepin/wire"
)

// content returns the digest of the content of a request. It is computed once, and only if the
// request has failed or failures of other requests are known.
func (q *request) content() poison.Digest {
	if q.digest == (poison.Digest{}) {
		c := poison.Content{Method: q.send.Method, Host: q.send.Host, Target: q.send.Target, Body: q.send.Body}
		if q.organisation != nil {
			c.Organisation = q.organisation.Name
		}
		q.digest = c.Digest()
	}
	return q.digest
}

// checkWait is how long a request that may go to another server waits for the check of the previous
// one. A running server and a closed port both answer within milliseconds; a server that doesn't
// answer is not waited for.
const checkWait = 20 * time.Millisecond

// contentAllowed reports whether the content of a request and the parts of its prompt allow sending it
// to a server. It waits for the check of the previous server, which may have crashed under it.
func (g *Gateway) contentAllowed(q *request) bool {
	if q.checked != nil {
		select {
		case <-q.checked:
		case <-time.After(g.checkWait):
		}
		q.checked = nil
	}
	return g.contents.blocked(q) == 0
}

// contents tracks the contents of requests, and the parts of prompts, under which servers have
// crashed. It guards a poison.Table with a lock.
type contents struct {
	clock *clock.Clock
	log   *slog.Logger
	// gateway is the hash of the gateway's name, gateways the number of gateways in the fleet.
	gateway  uint64
	gateways func() int
	// parts returns the parts of a prompt that other prompts may have too.
	parts func(*request) []poison.Digest

	mu    sync.Mutex
	table *poison.Table
	// interrupted holds the requests that were interrupted recently, by server incarnation.
	interrupted map[string][]interruption
	// logged are the blocked parts as they were last logged.
	logged map[poison.Digest]poison.Block
	// trials are the requests that try blocked parts, and watchers those that wait or are being
	// prefilled, with the function that ends that.
	trials   map[poison.Digest]*request
	watchers map[*request]context.CancelFunc
	// sentTo is the link over which records were last sent to a replica, and sentUpTo the last
	// change sent over it.
	sentTo   *wire.Link
	sentUpTo uint64
}

func newContents(c *clock.Clock, log *slog.Logger, name string) *contents {
	return &contents{
		clock: c, log: log, gateway: stablehash.Name(name), gateways: func() int { return 1 }, parts: func(*request) []poison.Digest { return nil },
		table: poison.NewTable(), interrupted: map[string][]interruption{}, logged: map[poison.Digest]poison.Block{},
		trials: map[poison.Digest]*request{}, watchers: map[*request]context.CancelFunc{},
	}
}

// interruption is a request that was interrupted at a server, some time after it was sent.
type interruption struct {
	content poison.Digest
	// name is the name of the server.
	name    string
	at      time.Time
	elapsed time.Duration
	// parts are the parts of its prompt, unless its answer was under way.
	parts []poison.Digest
}

// crashWindow is how long after an interrupted request a new incarnation of its server shows that
// the server crashed under it: servers that crash are back within seconds.
const crashWindow = 10 * time.Second

// noteInterrupted records that a request was interrupted now at an incarnation of a server, some
// time after it was sent there.
func (c *contents) noteInterrupted(q *request, s *dispatch.Server, elapsed time.Duration) interruption {
	intr := interruption{content: q.content(), name: s.StableName(), at: c.clock.Now(), elapsed: elapsed}
	if q.firstEventAt.IsZero() || intr.at.Sub(q.firstEventAt) < beginTime {
		intr.parts = c.parts(q)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted[s.ID] = append(c.interrupted[s.ID], intr)
	return intr
}

// noteRestart records that a server incarnation has been replaced, which interrupted the requests
// running there.
func (c *contents) noteRestart(server string) {
	c.mu.Lock()
	list := c.interrupted[server]
	delete(c.interrupted, server)
	c.mu.Unlock()
	for _, intr := range list {
		if c.clock.Since(intr.at) < crashWindow {
			c.noteCrash(intr, server)
		}
	}
}

// noteCrash records that a server crashed under a request that was interrupted there.
func (c *contents) noteCrash(intr interruption, server string) {
	ending := poison.Ending{Server: server, Age: c.clock.Since(intr.at), Ran: intr.elapsed, Underway: len(intr.parts) == 0, Name: intr.name}
	c.merge([]poison.Record{{Content: intr.content, Parts: intr.parts, Endings: []poison.Ending{ending}}})
}

// merge adds records, as those received from a replica.
func (c *contents) merge(list []poison.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.table.Merge(c.clock.Now(), list) {
		event.ContentBlocked.Log(c.log, "content", d.String())
	}
	c.applyBlocks()
}

// mergeSurvivals adds the survivals received from a replica.
func (c *contents) mergeSurvivals(list []poison.Survival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.MergeSurvivals(c.clock.Now(), list)
	c.applyBlocks()
}

// noteCompleted records that a request has run to completion.
func (c *contents) noteCompleted(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Len() > 0 {
		c.table.Excuse(q.content())
		c.recordSurvival(q)
	}
}

// blocked returns for how long a request is still refused because of its content or a part of its
// prompt.
func (c *contents) blocked(q *request) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blockedFor(q, false)
}

// blockedFor is like blocked, and lets the request try blocked parts if their time for that has come
// and try is set. The caller holds c.mu.
func (c *contents) blockedFor(q *request, try bool) time.Duration {
	if c.table.Len() == 0 {
		return 0
	}
	return max(c.table.BlockedFor(c.clock.Now(), q.content()), c.partsBlockedFor(q, try))
}

// unsent returns what has not yet been sent over a link: everything if the link is new, since the
// replica may have restarted.
func (c *contents) unsent(l *wire.Link) ([]poison.Record, []poison.Survival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sentTo != l {
		c.sentTo, c.sentUpTo = l, 0
	}
	survivals := c.table.SurvivalsSince(c.clock.Now(), c.sentUpTo, true)
	out, sent := c.table.Since(c.clock.Now(), c.sentUpTo, 1)
	c.sentUpTo = sent
	return out, survivals
}

func (c *contents) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Sweep(now)
	c.applyBlocks()
	for server, list := range c.interrupted {
		if now.Sub(list[len(list)-1].at) >= crashWindow {
			delete(c.interrupted, server)
		}
	}
}

func (c *contents) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.BlockedCount(c.clock.Now())
}

// errBlocked ends a request that may not go to another server.
var errBlocked = errors.New("gateway: the request crashes the servers that run it")

// refuseContent refuses a request because of its content or a part of its prompt. This attempt has not
// run, so the caller may send it again once the block has expired.
func (q *request) refuseContent(remaining time.Duration) refusal {
	return refusal{route: q.route.Name, status: http.StatusServiceUnavailable, reason: "the request, or a part of its prompt, ends the servers that run it", retryAfter: jitter(remaining)}
}
