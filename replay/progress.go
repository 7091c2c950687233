package replay

import (
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
)

// stepPrefills continues the prefills, transfers the KV caches of completed ones, and starts the
// runs whose transfers are complete.
func (s *simulation) stepPrefills() {
	for _, e := range slices.Concat(s.prefill, s.decode) {
		for _, r := range e.stepPrefills(step) {
			r.gateway.fleet.EndPrefill(e.id, r.reserved)
			r.gateway.fleet.NotePrefill(s.now, e.id, s.now.Sub(r.placedAt), r.work.Prompt)
			s.transfers = append(s.transfers, transfer{r, s.now.Add(transferTime)})
		}
	}
	kept := s.transfers[:0]
	for _, h := range s.transfers {
		if h.at.After(s.now) {
			kept = append(kept, h)
		} else {
			s.startRun(h.req)
		}
	}
	s.transfers = kept
}

// startRun starts a run, or fails it if its engine fails requests at the time.
func (s *simulation) startRun(r *request) {
	id := r.pair.Decode.ID
	e := s.engines[id]
	if e.down || e.id != id {
		s.startElsewhere(r)
		return
	}
	e.startRun(r)
	fault := s.pattern.fault(s.elapsed(), slices.Index(s.decode, e))
	if fault.Lost > 0 && s.rng.Float64() < fault.Lost {
		e.runs[len(e.runs)-1].cutAt = float64(r.answer) / 2
	}
	if s.rng.Float64() < fault.Share {
		e.runs = e.runs[:len(e.runs)-1]
		s.result.Wasted += r.work.Prompt
		r.gateway.fleet.Release(id, r.reserved)
		r.gateway.fleet.NoteOutcome(s.now, id, dispatch.Failure, 0)
		s.result.Failed++
		return
	}
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = s.now
	}
}

// startElsewhere has another engine take over a KV cache after the engine that was chosen has gone
// down.
func (s *simulation) startElsewhere(r *request) {
	fleet, id := r.gateway.fleet, r.pair.Decode.ID
	delete(s.engines[id].reserved, r)
	fleet.NoteOutcome(s.now, id, dispatch.Unreachable, 0)
	fleet.Release(id, r.reserved)
	r.queued.Avoid[id] = true
	next := fleet.ChooseDecode(s.now, r.reserved, s.engineRoute, "z", r.queued.Avoid)
	if next == nil || !s.engines[next.ID].reserve(r) {
		s.result.Wasted += r.work.Prompt
		s.refuse(r)
		return
	}
	fleet.Reserve(next.ID, r.reserved)
	fleet.NoteSent(s.now, next.ID)
	r.pair.Decode = next
	s.transfers = append(s.transfers, transfer{r, s.now.Add(transferTime)})
}

// stepFaults takes engines down, and starts them again as later incarnations.
func (s *simulation) stepFaults() {
	for i, e := range s.decode {
		down := s.pattern.fault(s.elapsed(), i).down(s.elapsed())
		if down == e.down {
			continue
		}
		e.down = down
		if down {
			s.loseRuns(e)
			continue
		}
		at := slices.IndexFunc(s.reports, func(r registry.Server) bool { return r.ID == e.id })
		r := &s.reports[at]
		r.Name, r.Born = r.StableName(), s.now.UnixMilli()
		r.ID = registry.IncarnationID(r.Name, r.Born)
		e.id, s.engines[r.ID] = r.ID, e
		for _, g := range s.gateways {
			g.fleet.Update(s.now, s.reports[at:at+1])
		}
	}
}

// loseRuns ends the runs whose answers an engine loses.
func (s *simulation) loseRuns(e *engine) {
	for _, lost := range e.takeLost() {
		fleet := lost.req.gateway.fleet
		fleet.NoteOutcome(s.now, e.id, s.options.lossOutcome(), 0)
		fleet.Release(e.id, lost.req.reserved)
		s.result.Lost++
		s.result.Wasted += lost.req.work.Prompt
	}
}

// stepDecodes generates the tokens of one step.
func (s *simulation) stepDecodes() {
	for _, e := range s.decode {
		s.loseRuns(e)
		ended, preempted := e.stepRuns(step)
		for _, done := range ended {
			s.finishRun(e, done.req)
		}
		for _, preemptedRun := range preempted {
			// Its prompt is prefilled again at the same engine once there is memory for it; its first
			// token counts as late.
			s.result.Wasted += int(preemptedRun.memory)
			s.result.Preempted++
			preemptedRun.req.firstTokenAt = preemptedRun.req.firstTryAt.Add(s.pattern.Deadline)
			e.preempted = append(e.preempted, preemptedRun)
		}
		for _, r := range e.resumePreempted() {
			s.transfers = append(s.transfers, transfer{r.req, s.now.Add(time.Duration(r.memory / s.pattern.ReadRate * float64(time.Millisecond)))})
		}
		for _, r := range e.runs {
			if generated := int(r.generated); generated-r.req.reserved.Generated >= eventTokens {
				r.req.reserved, _ = r.req.gateway.fleet.Grow(e.id, r.req.reserved, generated)
				s.considerMigration(e, r)
			}
		}
	}
	s.stepMigrations()
}

// finishRun records a complete answer.
func (s *simulation) finishRun(e *engine, r *request) {
	g := r.gateway
	g.fleet.Release(e.id, r.reserved)
	g.fleet.NoteOutcome(s.now, e.id, dispatch.Success, s.now.Sub(r.placedAt))
	g.times.Note(s.now.Sub(r.arrived), max(r.firstTokenAt.Sub(r.placedAt), 0), s.now.Sub(r.firstTokenAt), r.answer)
	if !s.options.FixedLevel {
		g.fleet.SetTokenTime(service, g.times.Token)
	}
	g.arrivals.AddServed(s.now, r.class)
	took := r.firstTokenAt.Sub(r.firstTryAt)
	s.firstTokenTimes = append(s.firstTokenTimes, took)
	if took <= s.kind(r).Target {
		s.result.InTime++
		s.result.Kinds[r.kind].InTime++
		if r.organisation > 0 {
			s.result.OthersInTime++
		}
	} else {
		s.result.Late++
	}
}
