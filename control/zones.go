package control

import (
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/wire"
)

// sendZones sends the downstream links the free slots of each zone by model. Callers hold
// c.mu.
func (c *Control) sendZones() {
	tree := c.store.Tree()
	if tree == nil || len(c.zoneSummaries) < 2 {
		return
	}
	roles := map[string]string{}
	for _, p := range tree.Servers() {
		roles[p.Name] = p.Role
	}
	out := &wire.Zones{}
	for _, z := range c.zoneSummaries {
		out.Free = append(out.Free, freeSlots(z, roles))
	}
	sort.Slice(out.Free, func(i, j int) bool { return out.Free[i].Zone < out.Free[j].Zone })
	c.sendDownstream(&wire.Message{Zones: out})
}

// freeSlots sums the free slots of a zone.
func freeSlots(z *wire.Summary, roles map[string]string) wire.ZoneFree {
	out := wire.ZoneFree{Zone: z.Zone, Prefill: map[string]int{}, Decode: map[string]int{}}
	for _, s := range z.Servers {
		if s.Leaving || s.Free <= 0 {
			continue
		}
		by := out.Decode
		if roles[s.Name] == settings.RolePrefill {
			by = out.Prefill
		}
		for _, m := range s.Models {
			by[m] += s.Free
		}
	}
	return out
}

// leaseQuota answers a relay or an entry that asks for units of customers' limits. Every
// replica leases units: a relay that moves to another replica asks again, and a lease that
// is counted twice expires. Callers hold c.mu.
func (c *Control) leaseQuota(now time.Time, l *wire.Link, m *wire.Shares) {
	tree := c.store.Tree()
	if tree == nil {
		return
	}
	limit := tree.EffectiveAt("", "", "").OpenLimit
	out := &wire.Lent{}
	for _, a := range m.Asks {
		cust, ok := tree.Fleet.Customers[a.Customer]
		if !ok {
			continue
		}
		out.Grants = append(out.Grants, c.quotaBroker.Lease(now, l.Peer.Name, a, limit*cust.ShareOrOne()))
	}
	_ = l.Send(&wire.Message{Lent: out})
}
