package control

import (
	"time"

	"github.com/ledgepin/ledgepin/order"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/wire"
)

// issueOrders issues the orders that bring the engines in line with the settings, if this
// replica leads under its lease. Callers hold c.mu.
func (c *Control) issueOrders(now time.Time) {
	tree := c.store.Tree()
	if tree == nil || !c.node.IsLeader(now) {
		return
	}
	if now.Sub(c.floorSentAt) >= floorSendEvery {
		c.floorSentAt = now
		c.sendFloor(tree)
	}
	models := map[string]order.Model{}
	for name, m := range tree.Fleet.Models {
		models[name] = order.Model{Version: m.Version, Adapters: m.Adapters, WeightBytes: int64(m.Weights)}
	}
	limits := order.StoreRates{}
	for site := range tree.Fleet.Sites {
		limits[site] = tree.EffectiveAt(site, "", "").WeightRate
	}
	for _, o := range c.planner.Plan(now, c.node.Term(), c.orderServers(tree), models, limits) {
		p, ok := tree.Server(o.Server)
		if l := c.zoneLink(p.Zone); ok && l != nil {
			_ = l.Send(&wire.Message{Order: &o})
		}
	}
}

// floorSendEvery is the interval at which the fence is sent again, for agents that have
// restarted.
const floorSendEvery = 2 * time.Second

// orderServers joins the servers of the settings with the state that the zones report.
func (c *Control) orderServers(tree *settings.Tree) []order.Server {
	has := map[string]wire.ServerState{}
	for _, z := range c.zoneSummaries {
		for _, s := range z.Servers {
			has[s.Name] = s
		}
	}
	var out []order.Server
	for _, p := range tree.Servers() {
		if p.Role == settings.RoleService {
			continue
		}
		s, up := has[p.Name]
		out = append(out, order.Server{
			Name: p.Name, Site: p.Site, Pool: p.Pool, Role: p.Role, CurrentRole: s.Role, Want: p.Models, Has: s.Assets,
			Reachable: up, Leaving: s.Leaving,
		})
	}
	return out
}

func (c *Control) handleOrderResult(r *order.Result) { c.planner.Complete(*r) }
