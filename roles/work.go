package roles

import (
	"math"
	"time"
)

// Some loads need another division of the engines than the settings say: with prompts of 5,200
// tokens and answers of 980, a third of 55 engines as prefill engines are a quarter busy while
// the memory of the decode engines is full in bursts of 1.7 to 2.4 times the load. Averages of
// the utilization show that only after the first burst. The ratio of the work that arrives for
// each role is known after two seconds of load.

// Work is what the requests that arrive for a service require, including rejected ones.
type Work struct {
	// Prefill is the number of engines that their prompts keep busy. Decode is the number of
	// engines whose capacity their runs fill.
	Prefill, Decode float64
	// PrefillTime is the mean time of a prefill. Objective is the time to the first event that
	// callers need; zero for none.
	PrefillTime, Objective time.Duration
}

func (w Work) known() bool { return w.Prefill > 0 && w.Decode > 0 }

// requests returns the number of requests that arrive in a time.
func (w Work) requests(d time.Duration) float64 {
	return w.Prefill * float64(d) / math.Max(float64(w.PrefillTime), 1)
}

// capacity returns the multiple of the work that a division of engines can serve.
func (w Work) capacity(prefill, decode int) float64 {
	return math.Min(float64(prefill)*w.prefillUtilization(prefill)/w.Prefill, float64(decode)/w.Decode)
}

// Parameters of planning by work.
const (
	// maxWaitShare is the share of the time to the first event that a prompt may wait for its
	// prefill.
	maxWaitShare = 0.25
	// promptVariation is the variance of prompt lengths over the square of their mean.
	promptVariation = 0.3
	// maxPrefillUtilization is the utilization of prefill engines at a load that fills the
	// decode engines. The rest lets prompts be processed in time while a quarter of the engines
	// fails for 2 s in a burst.
	// lowestPrefillUtilization bounds what a short objective can claim.
	maxPrefillUtilization    = 0.85
	lowestPrefillUtilization = 0.5
	// workAveragingTime bounds the time over which work is averaged, from the beginning of the
	// load.
	workAveragingTime = 30 * time.Second
	// minLoadTime is how long work must have arrived before the roles follow it.
	minLoadTime = 2 * time.Second
	// minRequests is the number of requests that must have arrived before the roles follow them.
	// The ratio of the work of 60 requests varies by about a tenth.
	minRequests = 60
	// maxWorkAge is the age from which work counts as ended. workMemory is the time after
	// which it is forgotten: until then the utilization doesn't decide, because it contains
	// the runs of work that has ended.
	maxWorkAge = time.Second
	workMemory = 30 * time.Second
	// minWorkUtilization is the utilization of the busier role, by the work, from which on
	// the work decides. Below it, even a burst of 2.4 times the load leaves a third of both
	// roles free.
	minWorkUtilization = 0.25
	// minGain is the share by which a change must raise the load that can be served. Each
	// changed engine costs RoleSwitch of its capacity, and the measured ratio varies.
	minGain = 0.05
	// reverseInterval is the minimum time between a change and one in the other direction
	// by the work. In a mix with shorter waves, each wave would cost RoleSwitch of the
	// capacity of the changed engines.
	reverseInterval = 30 * time.Second
	// growTime is how long the work must have required more prefill engines before decode
	// engines, which are in use, become prefill engines. It is the time that a change takes;
	// engines that fail together are mostly back after 2 s.
	growTime = 6 * time.Second
)

// prefillUtilization returns the utilization up to which a number of prefill engines process
// prompts in time: the mean wait for a prefill is at most a quarter of the objective.
func (w Work) prefillUtilization(engines int) float64 {
	high, low := maxPrefillUtilization, lowestPrefillUtilization
	if w.Objective <= 0 || w.prefillWait(engines, high) <= maxWaitShare*float64(w.Objective) {
		return high
	}
	for high-low > 0.01 {
		if u := (high + low) / 2; w.prefillWait(engines, u) <= maxWaitShare*float64(w.Objective) {
			low = u
		} else {
			high = u
		}
	}
	return low
}

// prefillWait returns the mean time that a prompt waits for its prefill (Sakasegawa's
// approximation of the queue M/G/c).
func (w Work) prefillWait(engines int, utilization float64) float64 {
	c := float64(engines)
	queued := math.Pow(utilization, math.Sqrt(2*(c+1))-1) / (c * (1 - utilization))
	return float64(w.PrefillTime) * (1 + promptVariation) / 2 * queued
}

// arrivingWork is what a planner knows about the work of its service.
type arrivingWork struct {
	// recent is the newest work, mean its average.
	recent, mean Work
	// since is when the load began, at when recent was noted.
	since, at time.Time
	// grown is whether the last change made more prefill engines, and changedAt its time; zero
	// if there was none since the set of engines has changed.
	grown     bool
	changedAt time.Time
	// growSince is since when the work has required more prefill engines; zero if it does not.
	growSince time.Time
}

// NoteWork records the work that has arrived in the last seconds. Work that is not known is
// the zero value: gateways of older builds don't report it.
func (p *Planner) NoteWork(now time.Time, w Work) {
	a := &p.work
	if !w.known() {
		return
	}
	if now.Sub(a.at) > workMemory {
		a.since, a.mean = now, w
	}
	window := min(max(now.Sub(a.since), minAveragingTime), workAveragingTime)
	weight := min(float64(now.Sub(a.at))/float64(window), 1)
	a.mean.Prefill += weight * (w.Prefill - a.mean.Prefill)
	a.mean.Decode += weight * (w.Decode - a.mean.Decode)
	a.mean.PrefillTime, a.mean.Objective = w.PrefillTime, w.Objective
	a.recent, a.at = w, now
}

// known reports whether the work of the last seconds is known.
func (a *arrivingWork) known(now time.Time) bool { return !a.at.IsZero() && now.Sub(a.at) < workMemory }

// decides reports whether there is enough work for long enough to determine the roles.
func (a *arrivingWork) decides(now time.Time, prefill, decode int) bool {
	loaded := now.Sub(a.since)
	if now.Sub(a.at) > maxWorkAge || loaded < minLoadTime || a.mean.requests(loaded) < minRequests {
		return false
	}
	return math.Max(a.mean.Prefill/float64(max(prefill, 1)), a.mean.Decode/float64(max(decode, 1))) >= minWorkUtilization
}

// wantPrefill returns the number of prefill engines that the work requires. The newest work
// and the average must both require a change in the same direction, so that neither a wave of
// the mix nor the past alone changes roles.
func (a *arrivingWork) wantPrefill(now time.Time, prefill, decode, least int) int {
	recent, mean := a.recent.divide(prefill, decode, least), a.mean.divide(prefill, decode, least)
	if recent <= prefill || mean <= prefill {
		a.growSince = time.Time{}
	} else if a.growSince.IsZero() {
		a.growSince = now
	}
	reversible := a.changedAt.IsZero() || now.Sub(a.changedAt) >= reverseInterval
	switch {
	case recent < prefill && mean < prefill && (reversible || !a.grown):
		return max(recent, mean)
	case !a.growSince.IsZero() && now.Sub(a.growSince) >= growTime && (reversible || a.grown):
		return min(recent, mean)
	}
	return prefill
}

// divide returns the number of prefill engines with the highest capacity, at least the given
// number, or the present number if the gain is small.
func (w Work) divide(prefill, decode, least int) int {
	total := prefill + decode
	best, capacity := prefill, w.capacity(prefill, decode)
	needed := (1 + minGain) * capacity
	for n := max(least, 1); n < total; n++ {
		if c := w.capacity(n, total-n); c > capacity {
			best, capacity = n, c
		}
	}
	if capacity < needed {
		return prefill
	}
	return best
}
