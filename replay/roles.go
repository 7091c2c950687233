package replay

import (
	"fmt"
	"math"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/roles"
)

const (
	// planInterval is the time between two plans of the planner.
	planInterval = 250 * time.Millisecond
	// roleSwitch is how long an engine is away when it changes its role.
	roleSwitch = 6 * time.Second
	// reportedWork is the time over which gateways average the arriving work.
	reportedWork = 2 * time.Second
)

// RoleOptions are the variants of a simulation of roles.
type RoleOptions struct {
	// Planner plans the roles.
	Planner *roles.Planner
	// ReportsWork means that gateways report the arriving work.
	ReportsWork bool
	// Lost is a time in which the given number of prefill engines is missing.
	Lost Fault
}

// RoleChange is a change of an engine's role, at a time since the beginning of the load.
type RoleChange struct {
	At   time.Duration
	Role string
}

// RoleResult is the outcome of a simulation of roles.
type RoleResult struct {
	Changes []RoleChange
	// Prefill and Decode count the engines at the end.
	Prefill, Decode int
	// MemoryFull is the time for which the memory of all decode engines was full, PrefillFull
	// that for which more prompts arrived than the prefill engines can process.
	MemoryFull, PrefillFull time.Duration
}

// String returns one line of a table.
func (r RoleResult) String() string {
	return fmt.Sprintf("%d/%d engines, memory full %v, prefill full %v, changes %v", r.Prefill, r.Decode, r.MemoryFull, r.PrefillFull, r.Changes)
}

// roleSimulation simulates the engines of a service as a whole: requests arrive continuously, and
// the memory of all decode engines is one.
type roleSimulation struct {
	pattern Pattern
	options RoleOptions
	engines []roles.Engine
	// back are the times at which engines that change their roles are back.
	back map[string]time.Duration
	// reserved are the tokens that runs have reserved. work holds the work of each step of the
	// last seconds.
	reserved float64
	work     []roles.Work
	result   RoleResult
}

// PlayRoles simulates the load of a pattern until it ends, and a planner of the engines' roles.
func PlayRoles(p Pattern, o RoleOptions) RoleResult {
	s := &roleSimulation{pattern: p, options: o, back: map[string]time.Duration{}}
	for i := range p.Prefill + p.Decode {
		e := roles.Engine{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%3), Role: registry.Prefill}
		if i >= p.Prefill {
			e.Role = registry.Decode
		}
		s.engines = append(s.engines, e)
	}
	for at := time.Duration(0); at < p.length(); at += planInterval {
		s.step(at)
	}
	s.result.Prefill, s.result.Decode = s.count(registry.Prefill, false), s.count(registry.Decode, false)
	return s.result
}

// count counts the engines of a role; those in use only if inUse is set.
func (s *roleSimulation) count(role string, inUse bool) int {
	n := 0
	for _, e := range s.engines {
		if e.Role == role && !(inUse && e.Switching) {
			n++
		}
	}
	return n
}

func (s *roleSimulation) step(at time.Duration) {
	for i := range s.engines {
		e := &s.engines[i]
		e.Switching = e.Switching && at < s.back[e.ID]
	}
	p, phase := &s.pattern, s.pattern.phase(at)
	prompt, answer, duration := float64(phase.Prompt), float64(phase.Answer), float64(phase.Answer)*p.Step/1000
	work := roles.Work{
		Prefill: phase.Rate * prompt / (1000 * p.ReadRate),
		Decode:  phase.Rate * (prompt + answer) * duration / (dispatch.MemoryOvercommit * float64(p.KVTokens)),
	}
	capacity := float64(s.count(registry.Decode, true)) * dispatch.MemoryOvercommit * float64(p.KVTokens)
	s.reserved += (phase.Rate*(prompt+answer) - s.reserved/duration) * planInterval.Seconds()
	if s.reserved >= capacity {
		s.reserved = capacity
		s.result.MemoryFull += planInterval
	}
	if work.Prefill > float64(s.count(registry.Prefill, true)) {
		s.result.PrefillFull += planInterval
	}
	s.plan(at, s.observe(at, work.Prefill, s.reserved/capacity), work)
}

// observe returns the engines as control sees them.
func (s *roleSimulation) observe(at time.Duration, busy, utilization float64) []roles.Engine {
	var out []roles.Engine
	lost := 0
	if f := s.options.Lost; at >= f.From && at < f.From+f.For {
		lost = f.Engines
	}
	busyEngines := int(math.Ceil(busy))
	for _, e := range s.engines {
		if e.Role == registry.Prefill && lost > 0 {
			lost--
			continue
		}
		e.Busy = e.Role == registry.Prefill && busyEngines > 0
		if e.Busy {
			busyEngines--
		}
		if e.Role == registry.Decode {
			e.Utilization = utilization
		}
		out = append(out, e)
	}
	return out
}

// plan has the planner decide, and begins the changes that it orders.
func (s *roleSimulation) plan(at time.Duration, engines []roles.Engine, work roles.Work) {
	now := time.Unix(1000, 0).Add(at)
	s.work = append(s.work, work)
	if n := int(reportedWork / planInterval); len(s.work) > n {
		s.work = s.work[1:]
	}
	if s.options.ReportsWork {
		reported := roles.Work{PrefillTime: s.prefillTime(), Objective: s.pattern.Target}
		for _, w := range s.work {
			reported.Prefill += w.Prefill / float64(len(s.work))
			reported.Decode += w.Decode / float64(len(s.work))
		}
		s.options.Planner.NoteWork(now, reported)
	}
	for _, c := range s.options.Planner.Plan(now, engines) {
		s.result.Changes = append(s.result.Changes, RoleChange{at, c.Role})
		s.back[c.Engine] = at + roleSwitch
		for i := range s.engines {
			if s.engines[i].ID == c.Engine {
				s.engines[i].Role, s.engines[i].Switching = c.Role, true
			}
		}
	}
}

// prefillTime returns the time of a prefill of a prompt of the pattern's mean length.
func (s *roleSimulation) prefillTime() time.Duration {
	return time.Duration(float64(s.pattern.Prompt) / s.pattern.ReadRate * float64(time.Millisecond))
}
