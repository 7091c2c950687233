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
	some atomic.Bool
	// waiting are the requests that wait for a token, the first to be served first.
	waiting []*tokenWaiter
	// supply is what control tells of the limited servers of each service.
	supply map[string]ratelimit.Supply
	// got counts the tokens that came, by service, since this gateway shares with its replica.
	got map[string]int
	// asked is what that replica was told last, at askedAt.
	asked   map[string]wire.LimitAsk
	askedAt time.Time
	// touchAt is when this gateway was in touch last.
	touchAt time.Time
}

// retell has another replica told of everything.
func (s *limitedServers) retell(view *dispatch.Fleet) {
	s.got, s.asked, s.supply = nil, nil, nil
	view.RetellLimits()
}

// By whom a gateway is told of a limit, for the log.
const (
	byServer  = "server"
	byControl = "control"
)

func (g *Gateway) logLimit(c dispatch.LimitChange, by string) {
	event.ServerLimit.Log(g.log, "server", c.Server.Called(), "service", c.Server.Service, "rate", c.Word.Rate, "ended", !c.Word.Named, "by", by, "sent", c.Sent)
}

// noteLimit takes what a server says of its limit; false if that changes nothing.
func (f *fleet) noteLimit(id string, w ratelimit.Word) (dispatch.LimitChange, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	change, ok := f.view.NoteLimit(now, id, w)
	if ok {
		f.limited.some.Store(f.view.Limited(now) > 0)
	}
	return change, ok
}

// server returns a server as it is known.
func (f *fleet) server(id string) (dispatch.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.view.Get(id)
	if s == nil {
		return dispatch.Server{}, false
	}
	return *s, true
}

// admit tells whether a server takes a request that was not placed there before, and counts it. One
// that frees something always goes: nothing may stay held for a request that has ended.
func (f *fleet) admit(id string, frees bool) bool {
	if id == "" || !f.limited.some.Load() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if frees {
		f.view.Owe(f.clock.Now(), id)
		return true
	}
	return f.view.Admit(f.clock.Now(), id)
}

// onlyTokensLack tells whether a request could go to some server if that took more.
func (f *fleet) onlyTokensLack(q *request) bool {
	if !f.limited.some.Load() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.OnlyTokensLack(f.clock.Now(), q.work, q.tried)
}
