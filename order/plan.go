package order

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/engine"
)

// Server is what the planner knows of one server.
type Server struct {
	Name, Site, Pool string
	// Role is that of its pool, HasRole what its engine serves as; empty if the
	// engine knows no roles.
	Role, HasRole string
	// Want are the models that the settings give to it; Has are the assets that
	// it has loaded, as engine.Asset names them.
	Want, Has []string
	// Reachable tells that its agent is in reach, Leaving that it takes no new work.
	Reachable, Leaving bool
}

// Model is what the planner needs to know of a model.
type Model struct {
	Version  string
	Adapters []string
	// WeightBytes is its size in bytes.
	WeightBytes int64
}

// version returns the version of a model that the server has; empty if none.
func (s *Server) version(model string) string {
	for _, a := range s.Has {
		name, rest, _ := strings.Cut(a, "@")
		if name == model && !strings.Contains(rest, "/") {
			return rest
		}
	}
	return ""
}

// StoreRates are the rates of the weight store by site, in bytes a second.
type StoreRates map[string]int64

// Planner decides which orders to give so that each server gets the models of
// the settings. The loads of a site share the rate of the weight store, and a
// model is unloaded from a server only while another one of the pool has it.
// The zero value is ready; a new leader starts with a new one.
type Planner struct {
	seq     uint64
	pending map[string]pending // by server
}

type pending struct {
	id      string
	site    string // whose rate of the weight store it takes; empty if none
	expires time.Time
	// stateBefore is what the server had: the order is over once that changes.
	stateBefore string
}

// maxReportDelay is how long the report of a server may lag behind what it did.
const maxReportDelay = 15 * time.Second

// currentState describes what a server has.
func (s *Server) currentState() string { return s.HasRole + " " + strings.Join(s.Has, " ") }

// minLoadTime is the least time that a load is thought to take.
const minLoadTime = time.Second

// Plan returns the orders to give now. Term is the term of the leader, which
// must hold a live lease.
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

// loading tells whether the weight store's rate at a site is taken.
func (p *Planner) loading(site string) bool {
	for _, w := range p.pending {
		if w.site == site {
			return true
		}
	}
	return false
}

// next chooses what one server should do: take its role, load what it lacks or
// has in another version, load adapters, and then unload what it should not
// have.
func (p *Planner) next(s Server, all []Server, models map[string]Model) (engine.Order, bool) {
	if s.HasRole != "" && s.HasRole != s.Role && roleRedundant(s, all) {
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

// nextForModel brings one wanted model up to date. Loading another version may
// take the present one away, so another server has to have the model, unless
// there is no other one.
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

// anyPoolPeer calls f for the other servers of the pool until it returns true.
func anyPoolPeer(s Server, all []Server, f func(Server) bool) bool {
	for _, o := range all {
		if o.Pool == s.Pool && o.Site == s.Site && o.Name != s.Name && f(o) {
			return true
		}
	}
	return false
}

// onlyInPool tells whether the pool has no other server.
func onlyInPool(s Server, all []Server) bool {
	return !anyPoolPeer(s, all, func(Server) bool { return true })
}

// modelRedundant tells whether a server may lose a model: another one of the pool that
// is up has it, or no other one wants it.
func modelRedundant(model string, s Server, all []Server) bool {
	held := anyPoolPeer(s, all, func(o Server) bool { return o.Reachable && !o.Leaving && o.version(model) != "" })
	wanted := slices.Contains(s.Want, model) || anyPoolPeer(s, all, func(o Server) bool { return slices.Contains(o.Want, model) })
	return held || !wanted
}

// roleRedundant tells whether a server may leave its present role: no server of
// the site should have it, or another one that is up has.
func roleRedundant(s Server, all []Server) bool {
	wanted, held := false, false
	for _, o := range all {
		if o.Site != s.Site || o.Name == s.Name {
			continue
		}
		wanted = wanted || o.Role == s.HasRole
		held = held || o.Reachable && !o.Leaving && o.HasRole == s.HasRole
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
		site = "" // takes nothing of the store's rate
	}
	o := Order{ID: fmt.Sprintf("%s/%s/%s%s%s", do.Action, s.Name, do.Model, do.Adapter, do.Role), Server: s.Name, Fence: Fence{Term: term, Seq: p.seq}, Do: do}
	p.pending[s.Name] = pending{id: o.ID, site: site, expires: now.Add(2*loadTime + maxReportDelay), stateBefore: s.currentState()}
	return o
}

// Complete takes the result of an order. One that failed may be given again; one
// that went well is over when the server's report shows it.
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
