package entry

import (
	"time"

	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/wire"
)

// askAgain is the least time between two wishes out of turn.
const minShareInterval = 200 * time.Millisecond

// askEarly asks as soon as a customer's requests outgrow the last wish. Callers
// hold the lock.
func (e *Entry) requestSharesEarly(now time.Time, customer string) {
	if e.holder.NeedsMore(customer, e.core.OpenOf(customer)) && now.Sub(e.sharesRequestedAt) >= minShareInterval {
		e.sharesRequestedAt = now
		e.requestShares(now)
	}
}

// askShares asks upstream for the units of customers' limits that this entry
// and the entries below it need. Callers hold the lock.
func (e *Entry) requestShares(now time.Time) {
	used := e.core.OpenByCustomer()
	for _, c := range e.broker.Customers() {
		used[c] += (e.broker.Wanted(now, c) + 1) / 2 // a wish is twice the use
	}
	asks := e.holder.Asks(used)
	if len(asks) == 0 || e.upstream == nil {
		return // what was lent stays until upstream is back
	}
	_ = e.upstream.Send(&wire.Message{Shares: &wire.Shares{Asks: asks}})
}

func (e *Entry) applyGrants(m *wire.Lent) {
	for _, g := range m.Grants {
		e.holder.ApplyGrant(g)
	}
}

// lend passes units on to an entry below, out of those that this relay holds
// and does not use itself. Callers hold the lock.
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

// shortOf tells whether those below want more than this relay holds.
func (e *Entry) exceedsShares(asks []quota.Ask) bool {
	for _, a := range asks {
		if a.Want > e.holder.Units(a.Customer) {
			return true
		}
	}
	return false
}
