package replay

import (
	"time"
)

// run is a request at a decode engine.
type run struct {
	req *request
	// holds is the memory that it has, in tokens, made the tokens of its answer.
	memory, generated float64
}

// engine is one model engine.
type engine struct {
	id string
	p  *Pattern
	// reads are the prompts that wait to be read, the first with what is left of it.
	prompts   []*request
	remaining float64
	runs      []*run
	// held is memory that is set aside for prompts that are being read, by request.
	reserved map[*request]float64
}

// memory is what runs and what is set aside for them have.
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

// hold sets memory aside for a prompt, if there is room for it now.
func (e *engine) reserve(r *request) bool {
	if len(e.runs)+len(e.reserved) >= e.p.Slots || e.memory()+float64(r.work.Prompt) > float64(e.p.KVTokens) {
		return false
	}
	e.reserved[r] = float64(r.work.Prompt)
	return true
}

// read begins to read a prompt after those that wait.
func (e *engine) addPrompt(r *request) {
	if len(e.prompts) == 0 {
		e.remaining = float64(r.work.Prompt)
	}
	e.prompts = append(e.prompts, r)
}

// stepReads reads for a time, and returns the prompts that have been read.
func (e *engine) stepPrefills(d time.Duration) []*request {
	var done []*request
	tokens := e.p.ReadRate * milliseconds(d)
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

// begin starts a run in the memory that was set aside for it.
func (e *engine) startRun(r *request) {
	delete(e.reserved, r)
	e.runs = append(e.runs, &run{req: r, memory: float64(r.work.Prompt)})
}

// stepRuns makes tokens for a time. It returns the runs that have ended, and those that
// were preempted since the memory ran out: the newest.
func (e *engine) stepRuns(d time.Duration) (ended, preempted []*run) {
	pace := milliseconds(d) / (e.p.Step + e.p.StepPerRun*float64(len(e.runs)))
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
	for len(e.runs) > 1 && e.memory() > float64(e.p.KVTokens) {
		last := e.runs[len(e.runs)-1]
		e.runs = e.runs[:len(e.runs)-1]
		preempted = append(preempted, last)
	}
	return ended, preempted
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
