package gateway

import (
	"sync/atomic"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/wire"
)

// limitedServers is what a gateway knows of limits beside the servers. The fleet's lock guards it.
type limitedServers struct {
	// some tells that some server names a limit. It is read without the lock, by each answer.
	present atomic.Bool
	// waiting are the requests that wait for a token, or for a server to be back from a pause,
	// the first to be served first.
	waiting []*serverWaiter
	// supply is what control tells of the limited servers of each service.
	supply map[string]ratelimit.Supply
	// got counts the tokens that came, by service, since this gateway shares with its replica.
	received map[string]int
	// asked is what that replica was told last, at askedAt.
	lastAsks map[string]wire.LimitAsk
	askedAt  time.Time
	// touchAt is when this gateway was in touch last.
	connectedAt time.Time
}

// retell has another replica told of everything.
func (s *limitedServers) resendAll(view *dispatch.Fleet) {
	s.received, s.lastAsks, s.supply = nil, nil, nil
	view.ResendLimits()
}

// By whom a gateway is told of a limit, for the log.
const (
	sourceServer  = "server"
	sourceControl = "control"
)

func (g *Gateway) logLimit(c dispatch.LimitChange, source string) {
	event.ServerLimit.Log(g.log, "server", c.Server.StableName(), "service", c.Server.Service, "rate", c.Observation.Rate, "ended", !c.Observation.Limited, "by", source, "sent", c.Sent)
}

// server returns a server as it is known.
func (f *fleet) lookup(id string) (dispatch.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.view.Get(id)
	if s == nil {
		return dispatch.Server{}, false
	}
	return *s, true
}
