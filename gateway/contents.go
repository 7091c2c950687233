package gateway

import (
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/event"
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

// maxSharedParts bounds the parts of one prompt that are tracked.
const maxSharedParts = 256

// shared returns the digests of the parts of a prompt that other prompts may have too: all but the
// last, which is the caller's own text. Like the content, they are computed only if needed.
func (g *Gateway) shared(q *request) []poison.Digest {
	parse := g.cfg.Protocol.ParsePartIDs
	if q.sharedParts != nil || parse == nil || q.service.Engine == nil {
		return q.sharedParts
	}
	q.sharedParts = []poison.Digest{}
	ids := parse(q.send.Header.Get(g.cfg.Protocol.Headers.PromptParts))
	for n := 0; n < min(len(ids)-1, maxSharedParts); n++ {
		q.sharedParts = append(q.sharedParts, poison.PartDigest(q.service.Name, ids[n]))
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

// checkWait is how long a request that may go to another server waits for the check of the previous
// one. A running server and a closed port both answer within milliseconds; a server that doesn't
// answer is not waited for.
const checkWait = 20 * time.Millisecond

// contentAllowed reports whether the content of a request allows sending it to a server.
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

// contents tracks the contents of requests under which servers have crashed. It guards a
// poison.Table with a lock.
type contents struct {
	clock *clock.Clock
	log   *slog.Logger
	mu    sync.Mutex
	table *poison.Table
	// interrupted holds the requests that were interrupted recently, by server incarnation.
	interrupted map[string][]interruption
	// sentTo is the link over which records were last sent to a replica, and sentUpTo the last
	// change sent over it.
	sentTo   *wire.Link
	sentUpTo uint64
}

func newContents(c *clock.Clock, log *slog.Logger) *contents {
	return &contents{clock: c, log: log, table: poison.NewTable(), interrupted: map[string][]interruption{}}
}

// interruption is a request that was interrupted at a server, some time after it was sent.
type interruption struct {
	content poison.Digest
	at      time.Time
	elapsed time.Duration
}

// crashWindow is how long after an interrupted request a new incarnation of its server shows that
// the server crashed under it: servers that crash are back within seconds.
const crashWindow = 10 * time.Second

// noteInterrupted records that a request was interrupted now at an incarnation of a server, some
// time after it was sent there.
func (c *contents) noteInterrupted(q *request, server string, elapsed time.Duration) interruption {
	intr := interruption{content: q.content(), at: c.clock.Now(), elapsed: elapsed}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted[server] = append(c.interrupted[server], intr)
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
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.RecordEnding(c.clock.Now(), intr.content, server, intr.at, intr.elapsed) {
		event.ContentBlocked.Log(c.log, "content", intr.content.String())
	}
}

// merge adds the records received from a replica.
func (c *contents) merge(list []poison.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.table.Merge(c.clock.Now(), list) {
		event.ContentBlocked.Log(c.log, "content", d.String())
	}
}

// noteCompleted records that a request has run to completion.
func (c *contents) noteCompleted(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Len() > 0 {
		c.table.Excuse(q.content())
	}
}

// blocked returns for how long a request is still refused because of its content.
func (c *contents) blocked(q *request) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Len() == 0 {
		return 0
	}
	return c.table.BlockedFor(c.clock.Now(), q.content())
}

// unsent returns the records that have not yet been sent over a link: all of them if the link is
// new, since the replica may have restarted.
func (c *contents) unsent(l *wire.Link) []poison.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sentTo != l {
		c.sentTo, c.sentUpTo = l, 0
	}
	out, sent := c.table.Since(c.clock.Now(), c.sentUpTo, 1)
	c.sentUpTo = sent
	return out
}

func (c *contents) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Sweep(now)
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

// refuseContent refuses a request because of its content. This attempt has not run, so the caller
// may send it again once the block has expired.
func (q *request) refuseContent(remaining time.Duration) refusal {
	return refusal{route: q.route.Name, status: http.StatusServiceUnavailable, reason: "the request ends the servers that run it", retryAfter: remaining}
}
