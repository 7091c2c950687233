package entry

import (
	"context"
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/vmlist"
	"github.com/ledgepin/ledgepin/wire"
)

// vmListInterval is the time between two requests for the platform's list of VMs, and the
// timeout of each.
const vmListInterval = time.Second

func (e *Entry) platformLoop() {
	c := vmlist.NewClient(e.cfg.Platform)
	failing := false
	for e.ctx.Err() == nil {
		vms, err := e.listVMs(c)
		if err != nil && !failing && e.ctx.Err() == nil {
			event.PlatformUnreachable.Log(e.log, "error", fault.From(err))
		}
		failing = err != nil
		if err == nil {
			e.applyVMList(vms)
		}
		wait.For(e.ctx, vmListInterval)
	}
}

func (e *Entry) listVMs(c *vmlist.Client) ([]vmlist.VM, error) {
	ctx, cancel := context.WithTimeout(e.ctx, vmListInterval)
	defer cancel()
	return c.List(ctx)
}

// applyVMList marks the servers on leaving VMs as leaving. A VM that is not on the
// list has no effect: the list lags behind, and a server that has ended has no link.
func (e *Entry) applyVMList(vms []vmlist.VM) {
	var names []string
	for _, vm := range vms {
		if vm.State == vmlist.Leaving {
			names = append(names, vm.Name)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setLeaving(names)
}

// setLeaving replaces the list of leaving servers and forwards it downstream. Callers
// hold the lock.
func (e *Entry) setLeaving(names []string) {
	next := map[string]bool{}
	for _, n := range names {
		next[n] = true
		if !e.leaving[n] {
			event.ServerLeaving.Log(e.log, "server", n, "why", "the platform lists its VM as leaving")
		}
	}
	for n := range e.leaving {
		if !next[n] {
			reported := e.agents[n] != nil && e.agents[n].leaving
			e.core.View().SetLeaving(n, reported)
		}
	}
	e.leaving = next
	for n := range next {
		e.core.View().SetLeaving(n, true)
	}
	for l := range e.downstream {
		_ = l.Send(e.leavingMessage())
	}
}

func (e *Entry) leavingMessage() *wire.Message {
	out := &wire.Leaving{Servers: []string{}}
	for n := range e.leaving {
		out.Servers = append(out.Servers, n)
	}
	sort.Strings(out.Servers)
	return &wire.Message{Leaving: out}
}
