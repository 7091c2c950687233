package gateway

import (
	"context"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/poison"
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

// lookAfter finds out whether a server has ended under a request that broke off there. A
// connection that broke alone, as by a reset on the way, says nothing of the server.
func (g *Gateway) lookAfter(q *request, s *dispatch.Server) {
	content, made := q.content(), q.work.Made
	g.wg.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, lookTime)
		defer cancel()
		if err := backend.Reach(ctx, s.Address); err != nil && g.ctx.Err() == nil {
			event.ServerEnded.Log(g.log, "id", q.id, "content", content.String(), "server", s.ID, "phase", s.Role, "made", made, "error", err)
		}
	})
}
