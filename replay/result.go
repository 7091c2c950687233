package replay

import (
	"fmt"
	"slices"
	"time"
)

// Result counts the outcomes of a simulation's requests.
type Result struct {
	// Callers is the number of callers. InTime of their requests had their first token within the
	// target, counted from the first try, Late had it later, and Failed were failed by an engine.
	Callers, InTime, Late, Failed int
	// Refused counts the refused tries, Preempted the runs that an engine preempted because its
	// memory was full.
	Refused, Preempted int
	// Wasted counts the prompt tokens that were prefilled in vain or repeatedly.
	Wasted int
	// Median and P99 are the 50th and 99th percentile of the time to the first token of the served
	// requests.
	Median, P99 time.Duration
	// RefusedWait is the mean time that a refused try waited in a queue.
	RefusedWait time.Duration

	// Others counts the callers of all organisations but the hot one, and OthersInTime those of
	// them that were served in time.
	Others, OthersInTime int

	// Kinds counts the callers of each kind.
	Kinds []KindResult

	totalRefusedWait time.Duration
}

// KindResult counts the callers of one kind, and those that were served in time.
type KindResult struct{ Callers, InTime int }

// Share returns the share of the callers that were served in time.
func (k KindResult) Share() float64 { return float64(k.InTime) / float64(max(k.Callers, 1)) }

func (r *Result) addCaller(q *request) {
	r.Kinds[q.kind].Callers++
	if q.organisation > 0 {
		r.Others++
	}
}

// OthersShare returns the share of the callers of all organisations but the hot one that were
// served in time.
func (r Result) OthersShare() float64 { return float64(r.OthersInTime) / float64(max(r.Others, 1)) }

// HotShare returns the share of the hot organisation's callers that were served in time.
func (r Result) HotShare() float64 {
	return float64(r.InTime-r.OthersInTime) / float64(max(r.Callers-r.Others, 1))
}

func (r *Result) finish(firsts []time.Duration) {
	slices.Sort(firsts)
	if n := len(firsts); n > 0 {
		r.Median, r.P99 = firsts[n/2], firsts[n*99/100]
	}
	if r.Refused > 0 {
		r.RefusedWait = r.totalRefusedWait / time.Duration(r.Refused)
	}
}

// InTimeShare returns the share of all callers that were served in time.
func (r Result) InTimeShare() float64 { return float64(r.InTime) / float64(max(r.Callers, 1)) }

// String returns one line of a table.
func (r Result) String() string {
	return fmt.Sprintf("in time %.3f  late %.3f  failed %.3f  refused tries %5d (queued %3.0f ms)  preempted %4d  wasted %7d tokens  first token median %4.0f ms, p99 %5.0f ms",
		r.InTimeShare(), float64(r.Late)/float64(max(r.Callers, 1)), float64(r.Failed)/float64(max(r.Callers, 1)),
		r.Refused, milliseconds(r.RefusedWait), r.Preempted, r.Wasted, milliseconds(r.Median), milliseconds(r.P99))
}
