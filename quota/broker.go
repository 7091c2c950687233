package quota

import (
	"sort"
	"time"
)

// The number of open requests of a customer in the fleet is limited. Asking for each request would
// put control on the request path, so units are leased downwards: from control to the relay of an
// availability zone, and from there to entries. A Holder asks ahead when it runs short and releases
// what it doesn't need. A Broker never leases more than it has itself, and counts leases until they
// expire.

// Ask is the total number of units of one customer that a holder asks for.
type Ask struct {
	Customer string `cbor:"1,keyasint"`
	Want     int    `cbor:"2,keyasint"`
}

// Grant is the total number of units of one customer that a holder has from now on.
type Grant struct {
	Customer string `cbor:"1,keyasint"`
	Units    int    `cbor:"2,keyasint"`
}

// LeaseTTL is how long a lease is valid after the last ask of its holder.
const LeaseTTL = 15 * time.Second

type lease struct {
	units, want int
	expiresAt   time.Time
}

// freeDivisor: a holder gets at least 1/freeDivisor of the free units, even if it asks for less, so
// that a burst needn't wait while there are plenty.
const freeDivisor = 8

// Broker leases units to holders.
type Broker struct {
	leases map[string]map[string]lease // by customer and holder
}

// NewBroker returns a broker without leases.
func NewBroker() *Broker { return &Broker{leases: map[string]map[string]lease{}} }

// Lease answers the ask of a holder; at most total units of a customer are leased.
func (b *Broker) Lease(now time.Time, holder string, a Ask, total int) Grant {
	byHolder := b.leases[a.Customer]
	if byHolder == nil {
		byHolder = map[string]lease{}
		b.leases[a.Customer] = byHolder
	}
	free := total
	for name, l := range byHolder {
		switch {
		case name == holder:
		case now.After(l.expiresAt):
			delete(byHolder, name)
		default:
			free -= l.units
		}
	}
	units := min(max(a.Want, free/freeDivisor), max(free, 0))
	if a.Want <= 0 {
		units = 0
	}
	byHolder[holder] = lease{units, a.Want, now.Add(LeaseTTL)}
	if a.Want == 0 {
		delete(byHolder, holder)
	}
	if len(byHolder) == 0 {
		delete(b.leases, a.Customer)
	}
	return Grant{a.Customer, units}
}

// Leased returns the number of units of a customer that are leased.
func (b *Broker) Leased(now time.Time, customer string) int {
	sum := 0
	for _, l := range b.leases[customer] {
		if !now.After(l.expiresAt) {
			sum += l.units
		}
	}
	return sum
}

// Wanted returns the number of units of a customer that holders have asked for, which may exceed
// what they got.
func (b *Broker) Wanted(now time.Time, customer string) int {
	sum := 0
	for _, l := range b.leases[customer] {
		if !now.After(l.expiresAt) {
			sum += l.want
		}
	}
	return sum
}

// Customers returns the customers that have leases, sorted by name.
func (b *Broker) Customers() []string {
	out := make([]string, 0, len(b.leases))
	for c := range b.leases {
		out = append(out, c)
	}
	sort.Strings(out)
	return out
}

// MinUnits is the number of open requests of a customer that an entry always allows, so that the
// first requests don't wait for a grant.
const MinUnits = 4

// initialDivisor: until its first ask is answered, an entry allows 1/initialDivisor of a customer's
// fleet-wide limit.
const initialDivisor = 4

// Holder holds the units that one entry may use of each customer.
type Holder struct {
	units map[string]int // as granted last; no entry before the first answer
	asked map[string]int
}

// NewHolder returns a holder without units.
func NewHolder() *Holder { return &Holder{units: map[string]int{}, asked: map[string]int{}} }

// Limit returns how many open requests of a customer are allowed at this entry; fleetLimit is the
// customer's limit in the fleet.
func (h *Holder) Limit(customer string, fleetLimit int) int {
	units, known := h.units[customer]
	if !known {
		units = fleetLimit / initialDivisor
	}
	return max(units, min(MinUnits, fleetLimit))
}

// NeedsMore reports whether a customer with this number of open requests requires a new ask.
func (h *Holder) NeedsMore(customer string, used int) bool {
	return used > MinUnits/2 && 2*used > h.asked[customer]
}

// Asks returns the asks to send: twice what is in use, so that growth needn't wait, and zero for
// customers that need no units any more.
func (h *Holder) Asks(used map[string]int) []Ask {
	var out []Ask
	for c, n := range used {
		if n > MinUnits/2 {
			out = append(out, Ask{c, 2 * n})
		}
	}
	for c := range h.asked {
		if used[c] <= MinUnits/2 {
			out = append(out, Ask{c, 0})
		}
	}
	for _, a := range out {
		h.asked[a.Customer] = a.Want
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Customer < out[j].Customer })
	return out
}

// ApplyGrant applies the answer to an ask.
func (h *Holder) ApplyGrant(g Grant) {
	if h.asked[g.Customer] == 0 {
		delete(h.units, g.Customer)
		delete(h.asked, g.Customer)
		return
	}
	h.units[g.Customer] = g.Units
}

// Units returns the number of units of a customer that were granted.
func (h *Holder) Units(customer string) int { return h.units[customer] }
