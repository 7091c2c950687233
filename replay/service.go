package replay

import (
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
)

// read goes on with the prompts, and hands those that have been read over.
func (x *play) read() {
	for _, e := range slices.Concat(x.prefill, x.decode) {
		for _, r := range e.stepReads(step) {
			r.gateway.view.EndPrefill(e.id, r.booked)
			r.gateway.view.NotePrefill(x.now, e.id, x.now.Sub(r.placedAt), r.work.Prompt)
			x.handovers = append(x.handovers, handed{r, x.now.Add(handover)})
		}
	}
	rest := x.handovers[:0]
	for _, h := range x.handovers {
		if h.at.After(x.now) {
			rest = append(rest, h)
		} else {
			x.begin(h.r)
		}
	}
	x.handovers = rest
}

// begin starts a run, or has it fail.
func (x *play) begin(r *request) {
	id := r.pair.Decode.ID
	e := x.byID[id]
	e.begin(r)
	if x.rng.Float64() < x.p.failing(x.at(), slices.Index(x.decode, e)) {
		e.runs = e.runs[:len(e.runs)-1]
		x.out.Wasted += r.work.Prompt
		r.gateway.view.Release(id, r.booked)
		r.gateway.view.NoteOutcome(x.now, id, dispatch.Failure, 0)
		x.out.Failed++
		return
	}
	if r.firstAt.IsZero() {
		r.firstAt = x.now
	}
}

// run goes on with the answers.
func (x *play) run() {
	for _, e := range x.decode {
		ended, preempted := e.stepRuns(step)
		for _, done := range ended {
			x.end(e, done.r)
		}
		for _, lost := range preempted {
			// It is read anew where it ran, and is late by then.
			x.out.Wasted += int(lost.holds)
			x.out.Preempted++
			lost.r.firstAt = lost.r.first.Add(x.p.Deadline)
			e.held[lost.r] = float64(lost.r.work.Prompt)
			x.handovers = append(x.handovers, handed{lost.r, x.now.Add(time.Duration(lost.holds / x.p.ReadRate * float64(time.Millisecond)))})
		}
		for _, going := range e.runs {
			if made := int(going.made); made-going.r.booked.Generated >= eventTokens {
				going.r.booked, _ = going.r.gateway.view.Grow(e.id, going.r.booked, made)
			}
		}
	}
}

// end takes a whole answer.
func (x *play) end(e *engine, r *request) {
	g := r.gateway
	g.view.Release(e.id, r.booked)
	g.view.NoteOutcome(x.now, e.id, dispatch.Success, x.now.Sub(r.placedAt))
	g.times.Note(x.now.Sub(r.arrived), max(r.firstAt.Sub(r.placedAt), 0), x.now.Sub(r.firstAt), r.answer)
	took := r.firstAt.Sub(r.first)
	x.firsts = append(x.firsts, took)
	if took <= x.p.Target {
		x.out.InTime++
		if r.organisation > 0 {
			x.out.OthersInTime++
		}
	} else {
		x.out.Late++
	}
}
