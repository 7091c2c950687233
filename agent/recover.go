package agent

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/wire"
)

// recoverLoop lists the runs of the engine when the agent starts. No slot is
// reserved until the list is complete.
func (a *Agent) recoverLoop() {
	for a.ctx.Err() == nil {
		ids, err := a.engine.Running(a.ctx)
		if err == nil {
			a.addOrphans(ids)
			return
		}
		wait.For(a.ctx, cancelInterval)
	}
}

func (a *Agent) addOrphans(ids []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	until := clock.VM.Now().Add(orphanTimeout)
	for _, s := range ids {
		if id, ok := parseID(s); ok {
			a.orphans[id] = until
		}
	}
	a.work.SetRecovering(false)
}

// handleResume reports the state of an attempt to an entry that has connected again,
// and continues the stream of a decode. Callers hold the lock.
func (a *Agent) handleResume(now time.Time, owner string, l *wire.Link, m *wire.Resume) {
	if _, ok := a.orphans[m.ID]; ok && m.Decode {
		delete(a.orphans, m.ID)
		a.work.Restore(now, m.ID, owner, m.Keep)
		a.jobs[m.ID] = &job{owner: owner}
		a.addStep(m.ID, decision.Retried, fmt.Sprintf("resumed by %s after a restart of the agent", l.Peer.Name))
		a.resumeDecode(owner, m)
		return
	}
	j := a.jobs[m.ID]
	switch {
	case j == nil:
		step := fault.StepPrefill
		if m.Decode {
			step = fault.StepDecode
		}
		a.sendFailed(l, m.ID, step, "the agent has no such attempt", false)
	case m.Decode:
		a.resumeDecode(owner, m)
	case j.result != nil:
		_ = l.Send(&wire.Message{Prefilled: j.result})
	}
}

// resumeDecode opens the stream of a running decode again at the token that the entry needs
// next.
func (a *Agent) resumeDecode(owner string, m *wire.Resume) {
	j := a.jobs[m.ID]
	if j.cancel != nil {
		j.cancel()
	}
	ctx, cancel := context.WithCancel(a.ctx)
	next := &job{owner: owner, priority: j.priority, cancel: cancel, next: m.From}
	a.jobs[m.ID] = next
	a.wg.Go(func() {
		s, err := a.engine.Resume(ctx, engineID(m.ID), m.From)
		if err != nil {
			a.failJob(owner, m.ID, fault.StepDecode, err)
			return
		}
		a.forwardStream(ctx, owner, m.ID, next, s)
	})
}

// Times and limits of the reports of an engine.
const (
	engineInterval = 250 * time.Millisecond
	engineTimeout  = time.Second
	// maxFailedReports is the number of reports that must fail in a row for the engine to
	// count as lost.
	maxFailedReports = 2
	// maxCacheHints is the maximum number of cache hints in one heartbeat, which bounds the
	// traffic of the links.
	maxCacheHints = 16
)

// engineLoop polls the load and the cache events of the engine.
func (a *Agent) engineLoop() {
	t := time.NewTicker(engineInterval)
	defer t.Stop()
	for {
		a.pollEngine()
		select {
		case <-a.ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (a *Agent) pollEngine() {
	ctx, cancel := context.WithTimeout(a.ctx, engineTimeout)
	defer cancel()
	load, err := a.engine.Load(ctx)
	if err != nil {
		a.engineReportFailed(err)
		return
	}
	events, _ := a.engine.CacheEvents(ctx, a.cacheSeq)
	a.engineReported(load, events)
}

func (a *Agent) engineReportFailed(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failedReports++
	if a.failedReports != maxFailedReports || a.ctx.Err() != nil {
		return
	}
	event.EngineLost.Log(a.log, "error", fault.From(err))
	a.engineOK, a.models = false, nil
	a.sendHeartbeatsLocked()
}

func (a *Agent) engineReported(load engine.Load, events []engine.CacheEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := !a.engineOK || !slices.Equal(load.Assets, a.assets) || load.Role != a.role || load.Software != a.software
	if !a.engineOK {
		event.EngineRecovered.Log(a.log)
	}
	a.engineOK, a.failedReports = true, 0
	a.models, a.assets, a.role, a.software = load.Models, load.Assets, load.Role, load.Software
	for _, e := range events {
		a.cacheSeq = max(a.cacheSeq, e.Seq)
		if !e.Removed && len(a.cacheHints) < maxCacheHints {
			a.cacheHints = append(a.cacheHints, e.Prefix)
		}
	}
	if changed {
		a.sendHeartbeatsLocked()
		for _, l := range a.links {
			a.sendAssets(l)
		}
	}
}
