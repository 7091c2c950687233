package order

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/engine"
)

// Server is the planner's view of one server.
type Server struct {
	Name, Site, Pool string
	// Role is the role of its pool, CurrentRole the present role of its engine; empty if the
	// engine has no roles.
	Role, CurrentRole string
	// Want holds the models that the settings assign to it, Has the assets that it has
	// loaded, named as by engine.Asset.
	Want, Has []string
	// Reachable reports that its agent is connected, Leaving that it accepts no new work.
	Reachable, Leaving bool
}

// Model is the planner's view of one model.
type Model struct {
	Version  string
	Adapters []string
	// WeightBytes is the size of its weights.
	WeightBytes int64
}

// version returns the version of a model that the server has loaded; empty if none.
func (s *Server) version(model string) string {
	for _, a := range s.Has {
		name, rest, _ := strings.Cut(a, "@")
		if name == model && !strings.Contains(rest, "/") {
			return rest
		}
	}
	return ""
}

// StoreRates holds the rates of the weight store by site, in bytes per second.
type StoreRates map[string]int64

// Planner decides which orders to send so that each server gets the models of the
// settings. Only one server of a site loads at a time, because loads share the rate of
// the weight store. A model is unloaded from a server only while another one of the pool
// has it. The zero value is ready to use; each new leader starts with one.
type Planner struct {
	seq     uint64
	pending map[string]pending // by server
}

type pending struct {
	id      string
	site    string // site whose weight store it loads from; empty if none
	expires time.Time
	// stateBefore is the state of the server when the order was sent. The order is
	// complete once the state differs.
	stateBefore string
}

// maxReportDelay is how long the report of a server may lag behind its state.
const maxReportDelay = 15 * time.Second

// currentState describes the role and assets of a server.
func (s *Server) currentState() string { return s.CurrentRole + " " + strings.Join(s.Has, " ") }

// minLoadTime is the minimum expected duration of a load.
const minLoadTime = time.Second

// Plan returns the orders to send now. term is the term of the leader, which must hold a
// live lease.
func (p *Planner) Plan(now time.Time, term uint64, servers []Server, models map[string]Model, lim StoreRates) []Order {
	if p.pending == nil {
		p.pending = map[string]pending{}
	}
	p.expire(now)
	sort.Slice(servers, func(i, j int) bool { return servers[i].Name < servers[j].Name })
	var out []Order
	for _, s := range servers {
		if !s.Reachable || s.Leaving {
			continue
		}
		if w, busy := p.pending[s.Name]; busy {
			if w.stateBefore == s.currentState() {
				continue
			}
			delete(p.pending, s.Name)
		}
		do, ok := p.next(s, servers, models)
		if !ok || do.Action == engine.ActionLoad && p.loading(s.Site) {
			continue
		}
		out = append(out, p.order(now, term, s, do, models, lim))
	}
	return out
}

func (p *Planner) expire(now time.Time) {
	for name, w := range p.pending {
		if now.After(w.expires) {
			delete(p.pending, name)
		}
	}
}

// loading reports whether a load at a site uses the rate of the weight store.
func (p *Planner) loading(site string) bool {
	for _, w := range p.pending {
		if w.site == site {
			return true
		}
	}
	return false
}

// next chooses the next command for one server: change its role, load models that are
// missing or have another version, load adapters, and then unload models that it should
// not have.
func (p *Planner) next(s Server, all []Server, models map[string]Model) (engine.Order, bool) {
	if s.CurrentRole != "" && s.CurrentRole != s.Role && roleRedundant(s, all) {
		return engine.Order{Action: engine.ActionRole, Role: s.Role}, true
	}
	for _, m := range s.Want {
		if o, ok := nextForModel(s, all, m, models[m]); ok {
			return o, true
		}
	}
	for _, a := range s.Has {
		m, rest, _ := strings.Cut(a, "@")
		if !strings.Contains(rest, "/") && !slices.Contains(s.Want, m) && modelRedundant(m, s, all) {
			return engine.Order{Action: engine.ActionUnload, Model: m, Version: rest}, true
		}
	}
	return engine.Order{}, false
}

// nextForModel brings one wanted model up to date. Loading another version may replace
// the present one, so another server must have the model, unless the pool has no other
// server.
func nextForModel(s Server, all []Server, name string, m Model) (engine.Order, bool) {
	has := s.version(name)
	if has == "" || has != m.Version && (modelRedundant(name, s, all) || onlyInPool(s, all)) {
		return engine.Order{Action: engine.ActionLoad, Model: name, Version: m.Version}, true
	}
	for _, a := range m.Adapters {
		if has == m.Version && !slices.Contains(s.Has, engine.Asset(name, has, a)) {
			return engine.Order{Action: engine.ActionAdapter, Model: name, Version: has, Adapter: a}, true
		}
	}
	return engine.Order{}, false
}

// anyPoolPeer reports whether f returns true for another server of the pool.
func anyPoolPeer(s Server, all []Server, f func(Server) bool) bool {
	for _, o := range all {
		if o.Pool == s.Pool && o.Site == s.Site && o.Name != s.Name && f(o) {
			return true
		}
	}
	return false
}

// onlyInPool reports whether the pool has no other server.
func onlyInPool(s Server, all []Server) bool {
	return !anyPoolPeer(s, all, func(Server) bool { return true })
}

// modelRedundant reports whether a server may lose a model: another reachable server of
// the pool has it, or no server of the pool wants it.
func modelRedundant(model string, s Server, all []Server) bool {
	held := anyPoolPeer(s, all, func(o Server) bool { return o.Reachable && !o.Leaving && o.version(model) != "" })
	wanted := slices.Contains(s.Want, model) || anyPoolPeer(s, all, func(o Server) bool { return slices.Contains(o.Want, model) })
	return held || !wanted
}

// roleRedundant reports whether a server may leave its present role: no other server of
// the site should have it, or another reachable one has it.
func roleRedundant(s Server, all []Server) bool {
	wanted, held := false, false
	for _, o := range all {
		if o.Site != s.Site || o.Name == s.Name {
			continue
		}
		wanted = wanted || o.Role == s.CurrentRole
		held = held || o.Reachable && !o.Leaving && o.CurrentRole == s.CurrentRole
	}
	return held || !wanted
}

func (p *Planner) order(now time.Time, term uint64, s Server, do engine.Order, models map[string]Model, lim StoreRates) Order {
	p.seq++
	loadTime := minLoadTime
	if rate := lim[s.Site]; do.Action == engine.ActionLoad && rate > 0 {
		loadTime = max(loadTime, time.Duration(float64(models[do.Model].WeightBytes)/float64(rate)*float64(time.Second)))
	}
	site := s.Site
	if do.Action != engine.ActionLoad {
		site = "" // does not load from the weight store
	}
	o := Order{ID: fmt.Sprintf("%s/%s/%s%s%s", do.Action, s.Name, do.Model, do.Adapter, do.Role), Server: s.Name, Fence: Fence{Term: term, Seq: p.seq}, Do: do}
	p.pending[s.Name] = pending{id: o.ID, site: site, expires: now.Add(2*loadTime + maxReportDelay), stateBefore: s.currentState()}
	return o
}

// Complete records the result of an order. A failed order may be sent again; one that
// succeeded is complete when the server's report shows its effect.
func (p *Planner) Complete(r Result) {
	for name, w := range p.pending {
		switch {
		case w.id != r.ID:
		case r.OK:
			w.site = ""
			p.pending[name] = w
		default:
			delete(p.pending, name)
		}
	}
}
