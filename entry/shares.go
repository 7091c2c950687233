package entry

import (
	"time"

	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/wire"
)

// askShares asks upstream for the units of customers' limits that this entry
// and the entries below it need. Callers hold the lock.
func (e *Entry) askShares(now time.Time) {
	used := e.core.OpenByCustomer()
	for _, c := range e.broker.Customers() {
		used[c] += e.broker.Lent(now, c) / 2
	}
	asks := e.holder.Wish(used)
	if len(asks) == 0 || e.up == nil {
		return // what was lent stays until upstream is back
	}
	_ = e.up.Send(&wire.Message{Shares: &wire.Shares{Asks: asks}})
}

func (e *Entry) takeLoans(m *wire.Lent) {
	for _, g := range m.Grants {
		e.holder.Granted(g)
	}
}

// lend passes units on to an entry below, out of those that this relay holds
// and does not use itself. Callers hold the lock.
func (e *Entry) lend(now time.Time, l *wire.Link, m *wire.Shares) {
	used := e.core.OpenByCustomer()
	out := &wire.Lent{}
	for _, a := range m.Asks {
		mine := e.holder.Units(a.Customer) - used[a.Customer]
		out.Grants = append(out.Grants, e.broker.Ask(now, l.Peer.Name, a, mine))
	}
	_ = l.Send(&wire.Message{Lent: out})
	e.wants(m.Asks)
}

// wants asks upstream for what those below lack.
func (e *Entry) wants(asks []quota.Ask) {
	if e.up == nil {
		return
	}
	var more []quota.Ask
	for _, a := range asks {
		if have := e.holder.Units(a.Customer); a.Want > have {
			more = append(more, quota.Ask{Customer: a.Customer, Want: have + a.Want})
		}
	}
	if len(more) > 0 {
		_ = e.up.Send(&wire.Message{Shares: &wire.Shares{Asks: more}})
	}
}
