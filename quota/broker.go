package quota

import (
	"sort"
	"time"
)

// A customer may have so many open requests in the fleet. Asking for each request would
// put control on its path, so units are leased downwards: from control to the relay of an
// availability zone, and from there to entries. A Holder asks ahead when it runs short and
// gives back what it does not need; a Broker never has more on loan than it has itself,
// counting loans until they end.

// Ask is what a holder wants to have of one customer in all.
type Ask struct {
	Customer string `cbor:"1,keyasint"`
	Want     int    `cbor:"2,keyasint"`
}

// Grant is what a holder has of one customer from now on.
type Grant struct {
	Customer string `cbor:"1,keyasint"`
	Units    int    `cbor:"2,keyasint"`
}

// LeaseTTL is how long a loan counts after the holder was last heard of.
const LeaseTTL = 15 * time.Second

type lease struct {
	units, want int
	expiresAt   time.Time
}

// sparePart is the part of the free units that a holder gets even if it wants
// less, so that a burst needs no wait while there is plenty.
const freeFraction = 8

// Broker lends units to holders below.
type Broker struct {
	leases map[string]map[string]lease // by customer and holder
}

// NewBroker returns a broker without loans.
func NewBroker() *Broker { return &Broker{leases: map[string]map[string]lease{}} }

// Lease answers a holder: at most total units of a customer are on loan.
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
	units := min(max(a.Want, free/freeFraction), max(free, 0))
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

// Leased returns the units of a customer that are on loan.
func (b *Broker) Leased(now time.Time, customer string) int {
	sum := 0
	for _, l := range b.leases[customer] {
		if !now.After(l.expiresAt) {
			sum += l.units
		}
	}
	return sum
}

// Wanted returns the units of a customer that the holders want to have, which
// may be more than they got.
func (b *Broker) Wanted(now time.Time, customer string) int {
	sum := 0
	for _, l := range b.leases[customer] {
		if !now.After(l.expiresAt) {
			sum += l.want
		}
	}
	return sum
}

// Customers lists the customers that have loans.
func (b *Broker) Customers() []string {
	out := make([]string, 0, len(b.leases))
	for c := range b.leases {
		out = append(out, c)
	}
	sort.Strings(out)
	return out
}

// MinUnits is the number of open requests of a customer that an entry always
// allows, so that the first ones wait for nobody.
const MinUnits = 4

// firstPart is the part of a customer's fleet-wide limit that an entry allows
// before its first wish has been answered.
const initialFraction = 4

// Holder keeps what one entry may use of each customer.
type Holder struct {
	units map[string]int // as granted last; absent before the first answer
	asked map[string]int
}

// NewHolder returns a holder without loans.
func NewHolder() *Holder { return &Holder{units: map[string]int{}, asked: map[string]int{}} }

// Limit returns how many open requests of a customer are allowed here; fleet is
// its limit in the fleet.
func (h *Holder) Limit(customer string, fleetLimit int) int {
	units, known := h.units[customer]
	if !known {
		units = fleetLimit / initialFraction
	}
	return max(units, min(MinUnits, fleetLimit))
}

// NeedsMore tells whether so many open requests of a customer call for a new wish.
func (h *Holder) NeedsMore(customer string, used int) bool {
	return used > MinUnits/2 && 2*used > h.asked[customer]
}

// Asks returns what to ask for: twice what is in use, so that the next growth
// needs no wait, and nothing of what is not needed any more.
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

// ApplyGrant takes the answer to a wish.
func (h *Holder) ApplyGrant(g Grant) {
	if h.asked[g.Customer] == 0 {
		delete(h.units, g.Customer)
		delete(h.asked, g.Customer)
		return
	}
	h.units[g.Customer] = g.Units
}

// Units returns what is on loan of a customer.
func (h *Holder) Units(customer string) int { return h.units[customer] }
