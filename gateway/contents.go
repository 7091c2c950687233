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

// content returns the name of what a request asks. It is made once, and only where a
// request has failed or others are known to.
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

// lookWait is how long a request that may go to a further server waits for the look at the
// one before: a server that is there, and a port that is closed, answer in some
// milliseconds, and one that says nothing is not waited for.
const checkWait = 20 * time.Millisecond

// mayGo tells whether a request may go to a server, as far as its content is concerned.
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

// contents is the lock around the contents under which servers have ended.
type contents struct {
	clock *clock.Clock
	log   *slog.Logger
	mu    sync.Mutex
	table *poison.Table
	// broke are the contents that broke off of late at each start of a server, and when.
	interrupted map[string][]interruption
	// toldTo is the link over which a replica was told, and told the change up to which.
	sentTo   *wire.Link
	sentUpTo uint64
}

func newContents(c *clock.Clock, log *slog.Logger) *contents {
	return &contents{clock: c, log: log, table: poison.NewTable(), interrupted: map[string][]interruption{}}
}

// brokeOff is a request that broke off at a server, some time after it was sent.
type interruption struct {
	content poison.Digest
	at      time.Time
	elapsed time.Duration
}

// brokeFor is how long after a request broke off a later start of its server shows that the
// server ended under it: servers that crash are back after some seconds.
const crashWindow = 10 * time.Second

// note notes that a request breaks off at a start of a server now, some time after it was
// sent there.
func (c *contents) noteInterrupted(q *request, server string, elapsed time.Duration) interruption {
	intr := interruption{content: q.content(), at: c.clock.Now(), elapsed: elapsed}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted[server] = append(c.interrupted[server], intr)
	return intr
}

// restarted takes that a start of a server has been replaced, which ended what broke off
// there.
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

// ended notes that a server has ended under a request that broke off there.
func (c *contents) noteCrash(intr interruption, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.RecordEnding(c.clock.Now(), intr.content, server, intr.at, intr.elapsed) {
		event.ContentBlocked.Log(c.log, "content", intr.content.String())
	}
}

// take takes what a replica tells.
func (c *contents) merge(list []poison.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.table.Merge(c.clock.Now(), list) {
		event.ContentBlocked.Log(c.log, "content", d.String())
	}
}

// ran notes a request that has run to its end.
func (c *contents) noteCompleted(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Len() > 0 {
		c.table.Excuse(q.content())
	}
}

// blocked returns for how long a request is refused for its content.
func (c *contents) blocked(q *request) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Len() == 0 {
		return 0
	}
	return c.table.BlockedFor(c.clock.Now(), q.content())
}

// untold returns what a replica has not been told over a link: all, over a new one, since
// the replica may have started anew.
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

// errBlocked ends a request that may not go to a further server.
var errBlocked = errors.New("gateway: the request ends the servers that run it")

// refuseContent refuses a request for its content. That it has not run is true of this try
// of its caller; the caller is told when it is tried again.
func (q *request) refuseContent(remaining time.Duration) refusal {
	return refusal{route: q.route.Name, status: http.StatusServiceUnavailable, reason: "the request ends the servers that run it", retryAfter: remaining}
}
