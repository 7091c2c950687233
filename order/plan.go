package order

import (
	"slices"
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/engine"
)

// Server is what the planner knows of one server.
type Server struct {
	Name, Site, Pool string
	// Want are the models that the settings give to it, Has those it has.
	Want, Has []string
	// Up tells that its agent is in reach, Leaving that it takes no new work.
	Up, Leaving bool
}

// Model is what the planner needs to know of a model.
type Model struct {
	Version string
	// Weights is its size in bytes.
	Weights int64
}

// Limits are the rates of the weight store by site, in bytes a second.
type Limits map[string]int64

// Planner decides which orders to give so that each server gets the models of
// the settings. The loads of a site share the rate of the weight store, and a
// model is unloaded from a server only while another one of the pool has it.
// The zero value is ready; a new leader starts with a new one.
type Planner struct {
	seq     uint64
	pending map[string]pending // by server
}

type pending struct {
	id    string
	site  string
	until time.Time
}

// minLoad is the least time that a load is thought to take.
const minLoad = time.Second

// Plan returns the orders to give now. Term is the term of the leader, which
// must hold a live lease.
func (p *Planner) Plan(now time.Time, term uint64, servers []Server, models map[string]Model, lim Limits) []Order {
	if p.pending == nil {
		p.pending = map[string]pending{}
	}
	p.expire(now)
	sort.Slice(servers, func(i, j int) bool { return servers[i].Name < servers[j].Name })
	var out []Order
	for _, s := range servers {
		if !s.Up || s.Leaving {
			continue
		}
		if _, busy := p.pending[s.Name]; busy {
			continue
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
		if now.After(w.until) {
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

// next chooses what one server should do: first load what it lacks, then
// unload what it should not have.
func (p *Planner) next(s Server, all []Server, models map[string]Model) (engine.Order, bool) {
	for _, m := range s.Want {
		if !slices.Contains(s.Has, m) {
			return engine.Order{Action: engine.ActionLoad, Model: m, Version: models[m].Version}, true
		}
	}
	for _, m := range s.Has {
		if !slices.Contains(s.Want, m) && spared(m, s, all) {
			return engine.Order{Action: engine.ActionUnload, Model: m}, true
		}
	}
	return engine.Order{}, false
}

// spared tells whether a server may lose a model: no server of the pool wants
// it, or another one that is up has it.
func spared(model string, s Server, all []Server) bool {
	wanted := false
	for _, o := range all {
		if o.Pool != s.Pool || o.Site != s.Site || o.Name == s.Name {
			continue
		}
		if slices.Contains(o.Want, model) {
			wanted = true
			if o.Up && !o.Leaving && slices.Contains(o.Has, model) {
				return true
			}
		}
	}
	return !wanted
}

func (p *Planner) order(now time.Time, term uint64, s Server, do engine.Order, models map[string]Model, lim Limits) Order {
	p.seq++
	took := minLoad
	if rate := lim[s.Site]; do.Action == engine.ActionLoad && rate > 0 {
		took = max(took, time.Duration(float64(models[do.Model].Weights)/float64(rate)*float64(time.Second)))
	}
	site := s.Site
	if do.Action != engine.ActionLoad {
		site = "" // takes nothing of the store's rate
	}
	o := Order{ID: do.Action + "/" + s.Name + "/" + do.Model, Server: s.Name, Fence: Fence{Term: term, Seq: p.seq}, Do: do}
	p.pending[s.Name] = pending{id: o.ID, site: site, until: now.Add(2 * took)}
	return o
}

// Done takes the result of an order.
func (p *Planner) Done(r Result) {
	for name, w := range p.pending {
		if w.id == r.ID {
			delete(p.pending, name)
		}
	}
}
