package gateway

import (
	"time"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/dispatch"
)

// paceEvents is the number of events of a run after which its pace is recorded for the first
// time. Runs take seconds, and the work of the requests has to be known before the first one ends.
const paceEvents = 3

// engineTimes returns how long the engines of a service take. The caller holds f.mu.
func (f *fleet) engineTimes(service string) *demand.EngineTimes {
	t := f.times[service]
	if t == nil {
		t = &demand.EngineTimes{}
		f.times[service] = t
	}
	return t
}

// notePace records how long an engine took for a part of an answer, or for an answer that was
// expected to have a number of tokens: the work of arriving requests is computed from expected
// answers, which are longer on average.
func (f *fleet) notePace(service string, took time.Duration, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engineTimes(service).NoteAnswer(took, tokens)
}

// noteUncached records how much of a prompt an engine had to process.
func (f *fleet) noteUncached(id string, w dispatch.Work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engineTimes(w.Service).NotePrefill(max(w.Prompt-w.Cached[id], 0), w.Prompt)
}

// addWork adds the work of the classes to the demand. The caller holds f.mu.
func (f *fleet) addWork(list []demand.Class) {
	for i := range list {
		f.times[list[i].Service].AddWork(&list[i], f.view.PrefillRate(list[i].Service))
	}
}
