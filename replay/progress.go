package replay

import (
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
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
	e.startRun(r)
	if s.rng.Float64() < s.pattern.failing(s.elapsed(), slices.Index(s.decode, e)) {
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

// stepDecodes generates the tokens of one step.
func (s *simulation) stepDecodes() {
	for _, e := range s.decode {
		ended, preempted := e.stepRuns(step)
		for _, done := range ended {
			s.finishRun(e, done.req)
		}
		for _, preemptedRun := range preempted {
			// Its prompt is prefilled again at the same engine; its first token counts as late.
			s.result.Wasted += int(preemptedRun.memory)
			s.result.Preempted++
			preemptedRun.req.firstTokenAt = preemptedRun.req.firstTryAt.Add(s.pattern.Deadline)
			e.reserved[preemptedRun.req] = float64(preemptedRun.req.work.Prompt)
			s.transfers = append(s.transfers, transfer{preemptedRun.req, s.now.Add(time.Duration(preemptedRun.memory / s.pattern.ReadRate * float64(time.Millisecond)))})
		}
		for _, r := range e.runs {
			if generated := int(r.generated); generated-r.req.reserved.Generated >= eventTokens {
				r.req.reserved, _ = r.req.gateway.fleet.Grow(e.id, r.req.reserved, generated)
			}
		}
	}
}

// finishRun records a complete answer.
func (s *simulation) finishRun(e *engine, r *request) {
	g := r.gateway
	g.fleet.Release(e.id, r.reserved)
	g.fleet.NoteOutcome(s.now, e.id, dispatch.Success, s.now.Sub(r.placedAt))
	g.times.Note(s.now.Sub(r.arrived), max(r.firstTokenAt.Sub(r.placedAt), 0), s.now.Sub(r.firstTokenAt), r.answer)
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
