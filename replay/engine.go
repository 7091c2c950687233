package replay

import (
	"slices"
	"time"
)

// run is an active request at a decode engine.
type run struct {
	req *request
	// memory is the KV memory that it uses, in tokens, generated the tokens of its answer so far.
	memory, generated float64
}

// engine is a simulated model engine.
type engine struct {
	id      string
	pattern *Pattern
	// prompts are the queued prompts. The first is being prefilled, with remaining tokens.
	prompts   []*request
	remaining float64
	runs      []*run
	// reserved is the memory reserved for prompts that are being prefilled, in tokens.
	reserved map[*request]float64
}

// memory returns the memory of the active runs and the reservations, in tokens.
func (e *engine) memory() float64 {
	sum := 0.0
	for _, r := range e.runs {
		sum += r.memory
	}
	for _, tokens := range e.reserved {
		sum += tokens
	}
	return sum
}

// reserve reserves memory for a prompt and reports whether a slot and enough memory were free.
func (e *engine) reserve(r *request) bool {
	if len(e.runs)+len(e.reserved) >= e.pattern.Slots || e.memory()+float64(r.work.Prompt) > float64(e.pattern.KVTokens) {
		return false
	}
	e.reserved[r] = float64(r.work.Prompt)
	return true
}

// addPrompt queues a prompt.
func (e *engine) addPrompt(r *request) {
	if len(e.prompts) == 0 {
		e.remaining = float64(r.work.Prompt)
	}
	e.prompts = append(e.prompts, r)
}

// stepPrefills prefills prompts for a time and returns the completed ones.
func (e *engine) stepPrefills(d time.Duration) []*request {
	var done []*request
	tokens := e.pattern.ReadRate * milliseconds(d)
	for len(e.prompts) > 0 && tokens > 0 {
		read := min(tokens, e.remaining)
		e.remaining -= read
		tokens -= read
		if e.remaining > 0 {
			break
		}
		done = append(done, e.prompts[0])
		e.prompts = e.prompts[1:]
		if len(e.prompts) > 0 {
			e.remaining = float64(e.prompts[0].work.Prompt)
		}
	}
	return done
}

// startRun starts a run in the memory reserved for it.
func (e *engine) startRun(r *request) {
	delete(e.reserved, r)
	e.runs = append(e.runs, &run{req: r, memory: float64(r.work.Prompt)})
}

// stepRuns generates tokens for a time. It returns the runs that ended, and the runs that were
// preempted because the memory was full, the newest of the least urgent first.
func (e *engine) stepRuns(d time.Duration) (ended, preempted []*run) {
	pace := milliseconds(d) / (e.pattern.Step + e.pattern.StepPerRun*float64(len(e.runs)))
	var kept []*run
	for _, r := range e.runs {
		r.generated += pace
		r.memory += pace
		if r.generated >= float64(r.req.answer) {
			ended = append(ended, r)
		} else {
			kept = append(kept, r)
		}
	}
	e.runs = kept
	for len(e.runs) > 1 && e.memory() > float64(e.pattern.KVTokens) {
		// As servers do that are told the priority of requests, the newest of the least urgent.
		at := len(e.runs) - 1
		for i := at - 1; i >= 0; i-- {
			if e.runs[i].req.work.Urgency.Compare(e.runs[at].req.work.Urgency) > 0 {
				at = i
			}
		}
		preempted = append(preempted, e.runs[at])
		e.runs = slices.Delete(e.runs, at, at+1)
	}
	return ended, preempted
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
