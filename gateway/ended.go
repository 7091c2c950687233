package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/poison"
	"github.com/ledgepin/ledgepin/wire"
)

// lookTime is how long a server may take to open a connection that shows that it is
// there; one that is there takes some milliseconds.
const lookTime = 300 * time.Millisecond

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

var errRestarted = errors.New("gateway: the server has started again")

// lookAfter finds out whether a server has ended under a request that broke off there. A
// connection that broke alone, as by a reset on the way, says nothing of the request.
func (g *Gateway) lookAfter(q *request, s *dispatch.Server) {
	content, made := q.content(), q.work.Made
	done := make(chan struct{})
	q.looked = done
	g.wg.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(g.ctx, lookTime)
		defer cancel()
		err := errRestarted
		if !g.fleet.ended(s.ID) {
			err = backend.Reach(ctx, s.Address)
		}
		if err == nil || g.ctx.Err() != nil {
			return
		}
		event.ServerEnded.Log(g.log, "id", q.id, "content", content.String(), "server", s.Called(), "phase", s.Role, "made", made, "error", err)
		g.contents.ended(g, content, s.ID)
	})
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
		case <-time.After(lookWait):
		}
		q.looked = nil
	}
	return g.contents.blocked(q) == 0
}

// contents is the lock around the contents under which servers have ended.
type contents struct {
	clock *clock.Clock
	mu    sync.Mutex
	table *poison.Table
	// toldTo is the link over which a replica was told, and told the change up to which.
	toldTo *wire.Link
	told   uint64
}

func newContents(c *clock.Clock) *contents { return &contents{clock: c, table: poison.NewTable()} }

func (c *contents) ended(g *Gateway, d poison.Digest, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Ended(c.clock.Now(), d, server) {
		event.ContentBlocked.Log(g.log, "content", d.String())
	}
}

// take takes what a replica tells.
func (c *contents) take(g *Gateway, list []poison.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.table.Merge(c.clock.Now(), list) {
		event.ContentBlocked.Log(g.log, "content", d.String())
	}
}

// ran notes a request that has run to its end.
func (c *contents) ran(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Len() > 0 {
		c.table.Ran(q.content())
	}
}

// blocked returns for how long a request is refused for its content.
func (c *contents) blocked(q *request) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Len() == 0 {
		return 0
	}
	return c.table.Blocked(c.clock.Now(), q.content())
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
}

func (c *contents) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Count(c.clock.Now())
}

// errBlocked ends a request that may not go to a further server.
var errBlocked = errors.New("gateway: the request ends the servers that run it")

// refuseContent refuses a request for its content. That it has not run is true of this try
// of its caller; the caller is told when it is tried again.
func (q *request) refuseContent(left time.Duration) refusal {
	return refusal{route: q.route.Name, status: http.StatusServiceUnavailable, reason: "the request ends the servers that run it", retryAfter: left}
}
