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
const lookWait = 20 * time.Millisecond

// mayGo tells whether a request may go to a server, as far as its content is concerned.
func (g *Gateway) mayGo(q *request) bool {
	if q.looked != nil {
		select {
		case <-q.looked:
		case <-time.After(g.lookWait):
		}
		q.looked = nil
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
	broke map[string][]brokeOff
	// toldTo is the link over which a replica was told, and told the change up to which.
	toldTo *wire.Link
	told   uint64
}

func newContents(c *clock.Clock, log *slog.Logger) *contents {
	return &contents{clock: c, log: log, table: poison.NewTable(), broke: map[string][]brokeOff{}}
}

// brokeOff is a request that broke off at a server, some time after it was sent.
type brokeOff struct {
	content poison.Digest
	at      time.Time
	ran     time.Duration
}

// brokeFor is how long after a request broke off a later start of its server shows that the
// server ended under it: servers that crash are back after some seconds.
const brokeFor = 10 * time.Second

// note notes that a request breaks off at a start of a server now, some time after it was
// sent there.
func (c *contents) note(q *request, server string, ran time.Duration) brokeOff {
	b := brokeOff{content: q.content(), at: c.clock.Now(), ran: ran}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broke[server] = append(c.broke[server], b)
	return b
}

// restarted takes that a start of a server has been replaced, which ended what broke off
// there.
func (c *contents) restarted(server string) {
	c.mu.Lock()
	list := c.broke[server]
	delete(c.broke, server)
	c.mu.Unlock()
	for _, b := range list {
		if c.clock.Since(b.at) < brokeFor {
			c.ended(b, server)
		}
	}
}

// ended notes that a server has ended under a request that broke off there.
func (c *contents) ended(b brokeOff, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.RecordEnding(c.clock.Now(), b.content, server, b.at, b.ran) {
		event.ContentBlocked.Log(c.log, "content", b.content.String())
	}
}

// take takes what a replica tells.
func (c *contents) take(list []poison.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.table.Merge(c.clock.Now(), list) {
		event.ContentBlocked.Log(c.log, "content", d.String())
	}
}

// ran notes a request that has run to its end.
func (c *contents) ran(q *request) {
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
func (c *contents) untold(l *wire.Link) []poison.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.toldTo != l {
		c.toldTo, c.told = l, 0
	}
	out, told := c.table.Since(c.clock.Now(), c.told, 1)
	c.told = told
	return out
}

func (c *contents) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Sweep(now)
	for server, list := range c.broke {
		if now.Sub(list[len(list)-1].at) >= brokeFor {
			delete(c.broke, server)
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
func (q *request) refuseContent(left time.Duration) refusal {
	return refusal{route: q.route.Name, status: http.StatusServiceUnavailable, reason: "the request ends the servers that run it", retryAfter: left}
}
