package replay

import (
	"fmt"
	"slices"
	"time"
)

// Result is what became of the requests of a play.
type Result struct {
	// Asked are the callers; of their requests InTime had their first token within the
	// target, counted from the first try, and Late had it later. Failed are those that
	// an engine failed.
	Callers, InTime, Late, Failed int
	// Refused counts the tries that were turned away, Preempted the runs that an engine
	// put off for want of memory.
	Refused, Preempted int
	// Wasted are prompt tokens that were read for nothing or again.
	Wasted int
	// Median and Slow are the times to the first token of half, and of 99 in 100, of
	// the requests that were served.
	Median, P99 time.Duration
	// Held is the mean time that a refused try was kept waiting.
	RefusedWait time.Duration

	// Quiet counts the callers of all organisations but the hot one, and QuietInTime those
	// of them that were served in time.
	Others, OthersInTime int

	totalRefusedWait time.Duration
}

func (r *Result) addCaller(q *request) {
	if q.organisation > 0 {
		r.Others++
	}
}

// QuietShare is the share served in time of the callers of all organisations but the hot
// one, HotShare that of the hot one's.
func (r Result) OthersShare() float64 { return float64(r.OthersInTime) / float64(max(r.Others, 1)) }

// HotShare is the share of the hot organisation's callers that were served in time.
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

// Share is the share of the callers served in time.
func (r Result) InTimeShare() float64 { return float64(r.InTime) / float64(max(r.Callers, 1)) }

// String is one line of a table.
func (r Result) String() string {
	return fmt.Sprintf("in time %.3f  late %.3f  failed %.3f  refused tries %5d (held %3.0f ms)  preempted %4d  wasted %7d tokens  first token %4.0f ms, %5.0f ms for 99 in 100",
		r.InTimeShare(), float64(r.Late)/float64(max(r.Callers, 1)), float64(r.Failed)/float64(max(r.Callers, 1)),
		r.Refused, milliseconds(r.RefusedWait), r.Preempted, r.Wasted, milliseconds(r.Median), milliseconds(r.P99))
}
