package policybench

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/router"
)

// ClassResult counts the outcomes of one class.
type ClassResult struct {
	Name                         string
	Offered, Met, Refused, Other int
	TTFT50, TTFT95               time.Duration
	TBT50, TBT95                 time.Duration
	// HeldAfterDisconnect is the longest time for which an engine held memory for a caller that
	// had disconnected.
	HeldAfterDisconnect time.Duration
}

// Goodput returns the share of requests that met both targets.
func (c ClassResult) Goodput() float64 { return ratio(c.Met, c.Offered) }

// Result is the measured result of a run.
type Result struct {
	Case
	Classes []ClassResult
	// Goodput is the share of all requests that met both targets, Bound an upper bound on it for
	// any schedule; see maxMet.
	Goodput, Bound float64
	// Wasted is the share of prefill work whose result was discarded.
	Wasted float64
	// Causes are the routers' own counts of wasted prefill work, in tokens.
	Causes map[router.WasteCause]int
	// Violations lists violated invariants.
	Violations []string
}

func ratio(n, of int) float64 {
	if of == 0 {
		return 1
	}
	return float64(n) / float64(of)
}

func (b *bench) result(c Case) Result {
	out := Result{Case: c, Violations: b.violations}
	met := 0
	for i := range c.Mix.Classes {
		cr := b.classResult(&c.Mix.Classes[i])
		met += cr.Met
		out.Classes = append(out.Classes, cr)
	}
	out.Goodput = ratio(met, len(b.requests))
	out.Bound = ratio(b.maxMet(c.Length), len(b.requests))
	out.Wasted = b.wastedShare()
	out.Causes = map[router.WasteCause]int{}
	for _, e := range b.entries {
		for cause, n := range e.router.Stats().WastedTokens {
			out.Causes[cause] += n
		}
	}
	return out
}

func (b *bench) classResult(class *Class) ClassResult {
	out := ClassResult{Name: class.Name}
	var ttft, tbt []time.Duration
	for _, r := range b.requests {
		if r.class.Name != class.Name {
			continue
		}
		out.Offered++
		switch {
		case r.metTargets():
			out.Met++
		case r.outcome == "refused":
			out.Refused++
		default:
			out.Other++
		}
		if !r.firstTokenAt.IsZero() {
			ttft = append(ttft, r.firstTokenAt.Sub(start.Add(r.at)))
			tbt = append(tbt, r.perToken())
		}
		if !r.disconnectedAt.IsZero() && !r.memoryFreedAt.IsZero() {
			out.HeldAfterDisconnect = max(out.HeldAfterDisconnect, r.memoryFreedAt.Sub(r.disconnectedAt))
		}
	}
	out.TTFT50, out.TTFT95 = quantile(ttft, 0.5), quantile(ttft, 0.95)
	out.TBT50, out.TBT95 = quantile(tbt, 0.5), quantile(tbt, 0.95)
	return out
}

func quantile(v []time.Duration, q float64) time.Duration {
	if len(v) == 0 {
		return 0
	}
	sort.Slice(v, func(i, j int) bool { return v[i] < v[j] })
	return v[min(int(q*float64(len(v))), len(v)-1)]
}

// wastedShare returns the share of the computed prefill tokens whose result never reached a caller
// as a token, or was computed again later.
func (b *bench) wastedShare() float64 {
	last := map[string]*prefillJob{}
	for _, j := range b.jobs {
		if j.useful {
			last[j.id.Req] = j
		}
	}
	var all, lost float64
	for _, j := range b.jobs {
		all += float64(j.computed)
		if last[j.id.Req] != j || j.req.firstTokenAt.IsZero() {
			lost += float64(j.computed)
		}
	}
	if all == 0 {
		return 0
	}
	return lost / all
}

// maxMet returns a number of requests that no schedule can exceed. It assumes that the cheapest
// requests use the whole prefill capacity, the whole decode capacity or all links, each
// independently of the others, without queueing and with a perfect prefix cache. The time for
// which faults took a server out of service is excluded, and so are callers whose connection was
// lost by a fault.
func (b *bench) maxMet(length time.Duration) int {
	var prefill, decode float64
	for _, s := range b.serverList {
		// The last arrivals may meet their targets after the end of arrivals.
		seconds := (length + b.slack() - b.lostCapacity[s.name]).Seconds()
		if s.role == "prefill" {
			prefill += seconds * b.mix.Rate * s.speed
		} else {
			decode += seconds * float64(b.mix.Slots) / (minStepTime + fullBatchExtraTime).Seconds() * s.speed
		}
	}
	byPrefill := b.countFitting(prefill, func(r *request) float64 { return float64(r.req.Tokens - r.cachedTokens) })
	byDecode := b.countFitting(decode, func(r *request) float64 { return float64(r.output) })
	ends := float64(min(b.mix.Prefill, b.mix.Decode))
	byLink := b.countFitting(ends*linkRate*(length+b.slack()).Seconds(), func(r *request) float64 { return float64(r.req.KVBytes) })
	return min(byPrefill, byDecode, byLink)
}

// slack returns the longest time after the last arrival in which work still counts.
func (b *bench) slack() time.Duration {
	var out time.Duration
	for _, c := range b.mix.Classes {
		out = max(out, c.TTFT)
	}
	return out
}

// countFitting returns how many requests fit into a capacity, the cheapest first.
func (b *bench) countFitting(capacity float64, cost func(*request) float64) int {
	var costs []float64
	for _, r := range b.requests {
		if !r.connectionLost {
			costs = append(costs, cost(r))
		}
	}
	sort.Float64s(costs)
	for i, c := range costs {
		if capacity -= c; capacity < 0 {
			return i
		}
	}
	return len(costs)
}

// Write writes the result as rows of a table.
func (r Result) Write(w io.Writer) {
	faults := "none"
	if len(r.Faults) > 0 {
		faults = ""
		for i, f := range r.Faults {
			if i > 0 {
				faults += " + "
			}
			faults += f
		}
	}
	fmt.Fprintf(w, "%-8s load %.1f  %-32s %-30s goodput %.3f of bound %.3f  wasted %.4f %v  violations %d\n",
		r.Mix.Name, r.Load, r.Policy, faults, r.Goodput, r.Bound, r.Wasted, r.Causes, len(r.Violations))
	for _, c := range r.Classes {
		fmt.Fprintf(w, "    %-10s goodput %.3f  refused %d of %d  other %d  ttft %s/%s  tbt %s/%s  held after disconnect %s\n",
			c.Name, c.Goodput(), c.Refused, c.Offered, c.Other, round(c.TTFT50), round(c.TTFT95), round(c.TBT50), round(c.TBT95), round(c.HeldAfterDisconnect))
	}
	for _, p := range r.Violations {
		fmt.Fprintln(w, "    violation:", p)
	}
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
