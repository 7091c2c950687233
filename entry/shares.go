package entry

import (
	"time"

	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/wire"
)

// minShareInterval is the minimum time between two requests for shares outside of the
// heartbeats.
const minShareInterval = 200 * time.Millisecond

// requestSharesEarly requests shares before the next heartbeat if the open requests of a
// customer exceed the last request. Callers hold the lock.
func (e *Entry) requestSharesEarly(now time.Time, customer string) {
	if e.holder.NeedsMore(customer, e.core.OpenOf(customer)) && now.Sub(e.sharesRequestedAt) >= minShareInterval {
		e.sharesRequestedAt = now
		e.requestShares(now)
	}
}

// requestShares requests from upstream the units of customers' limits that this entry
// and those that use it as a relay need. Callers hold the lock.
func (e *Entry) requestShares(now time.Time) {
	used := e.core.OpenByCustomer()
	for _, c := range e.broker.Customers() {
		used[c] += (e.broker.Wanted(now, c) + 1) / 2 // an entry requests twice what it uses
	}
	asks := e.holder.Asks(used)
	if len(asks) == 0 || e.upstream == nil {
		return // the current grants remain until upstream is back
	}
	_ = e.upstream.Send(&wire.Message{Shares: &wire.Shares{Asks: asks}})
}

func (e *Entry) applyGrants(m *wire.Lent) {
	for _, g := range m.Grants {
		e.holder.ApplyGrant(g)
	}
}

// grantShares grants units to a downstream entry, from those that were granted to this
// relay and that it does not use itself. Callers hold the lock.
func (e *Entry) grantShares(now time.Time, l *wire.Link, m *wire.Shares) {
	used := e.core.OpenByCustomer()
	out := &wire.Lent{}
	for _, a := range m.Asks {
		available := e.holder.Units(a.Customer) - used[a.Customer]
		out.Grants = append(out.Grants, e.broker.Lease(now, l.Peer.Name, a, available))
	}
	_ = l.Send(&wire.Message{Lent: out})
	if e.exceedsShares(m.Asks) {
		e.requestShares(now)
	}
}

// exceedsShares reports whether a downstream entry requests more units than this relay has.
func (e *Entry) exceedsShares(asks []quota.Ask) bool {
	for _, a := range asks {
		if a.Want > e.holder.Units(a.Customer) {
			return true
		}
	}
	return false
}
