package gateway

import (
	"sync/atomic"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/wire"
)

// limitedServers is the state that a gateway keeps about limits in addition to that of the
// dispatch.Fleet. It is guarded by fleet.mu.
type limitedServers struct {
	// present is set while some server has a limit. It is read without the lock, for each answer.
	present atomic.Bool
	// waiting are the requests that wait for a token, or for the end of a server's pause, in the
	// order in which they are served.
	waiting []*serverWaiter
	// supply is what control has reported about the limited servers of each service.
	supply map[string]ratelimit.Supply
	// received counts the tokens received, by service, since this gateway began to share with its
	// hub.
	received map[string]int
	// lastAsks are the asks that were sent to the hub last, at askedAt.
	lastAsks map[string]wire.LimitAsk
	askedAt  time.Time
	// connectedAt is when this gateway was last connected to control.
	connectedAt time.Time
}

// resendAll has everything sent again, to another replica.
func (s *limitedServers) resendAll(view *dispatch.Fleet) {
	s.received, s.lastAsks, s.supply = nil, nil, nil
	view.ResendLimits()
}

// The source of a limit, for the log.
const (
	sourceServer  = "server"
	sourceControl = "control"
)

func (g *Gateway) logLimit(c dispatch.LimitChange, source string) {
	event.ServerLimit.Log(g.log, "server", c.Server.StableName(), "service", c.Server.Service, "rate", c.Observation.Rate, "ended", !c.Observation.Limited, "by", source, "sent", c.Sent)
}

// lookup returns a copy of a server.
func (f *fleet) lookup(id string) (dispatch.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.view.Get(id)
	if s == nil {
		return dispatch.Server{}, false
	}
	return *s, true
}
