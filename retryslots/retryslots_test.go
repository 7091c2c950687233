package retryslots_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/retryslots"
	"github.com/ledgepin/ledgepin/route"
)

const (
	gateways = 30
	runTime  = 3400 * time.Millisecond
	// ends is the number of runs that end per second, at 55 engines with 8 or 9 runs each.
	ends = 92.0
)

var start = time.Unix(1000, 0)

func key(priority int) demand.Key {
	return demand.Key{Service: "llm", Urgency: route.Urgency{Organisation: 1, Route: priority}}
}

// burst simulates load A in simulated time: engines that serve the most urgent requests of each
// 50 ms, as many as runs have ended, and gateways that reject the others, which retry once.
type burst struct {
	// times is the multiple of the usual arrivals in the first two seconds.
	times float64
	// random tells random times between 1.2 and 1.6 durations of a run, as without slots.
	random bool
	// disconnected is the number of gateways that receive nothing about the others.
	disconnected int
	// lost reports whether the replica of a third of the gateways has died, with what they have
	// reported.
	lost func(at time.Duration) bool
}

// outcome counts, by route priority, the callers that were told to retry, the mean time that they
// were told, and those that were rejected again. excess is the largest number of retries in 250 ms
// beyond what new requests of equal or higher urgency left free.
type outcome struct {
	told, again [3]int
	mean        [3]time.Duration
	excess      float64
}

type attempt struct {
	priority int
	at       time.Duration
	retry    bool
}

func (b burst) play() (out outcome) {
	const step = 50 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 1))
	var promises [gateways]retryslots.Promises
	var meters [gateways]demand.Meter
	var own, reports [gateways][]demand.Class
	var trend retryslots.Trend
	var retries []attempt
	var due [3]float64
	capacity := 0.0
	var news, returned [3]float64 // of the current interval
	for at := -3 * time.Second; at < 8*time.Second; at += step {
		now := start.Add(at)
		reports = own
		for g := range own {
			own[g] = promises[g].Report(now, meters[g].List(now))
		}
		var total []demand.Class
		for g, list := range reports {
			if g%3 != 0 || b.lost == nil || !b.lost(at) {
				total = demand.Add(total, list)
			}
		}
		trend.Add(now, total)
		var arrived []attempt
		for priority, usual := range []float64{10, 14, 19} {
			if at >= 0 && at < 2*time.Second {
				usual *= b.times
			}
			for due[priority] += usual * step.Seconds(); due[priority] >= 1; due[priority]-- {
				arrived = append(arrived, attempt{priority: priority})
			}
		}
		kept := retries[:0]
		for _, r := range retries {
			if r.at <= at {
				arrived = append(arrived, r)
			} else {
				kept = append(kept, r)
			}
		}
		retries = kept
		slices.SortStableFunc(arrived, func(a, b attempt) int { return a.priority - b.priority })
		capacity = min(capacity+ends*step.Seconds(), ends*retryslots.Interval.Seconds())
		for _, a := range arrived {
			g := rng.IntN(gateways)
			k := key(a.priority)
			meters[g].Add(now, k, 5200, 6180)
			if a.retry {
				returned[a.priority]++
			} else {
				news[a.priority]++
			}
			if capacity >= 1 {
				capacity--
				continue
			}
			if a.retry {
				out.again[a.priority]++
				continue
			}
			after := dispatch.RetryAfter(runTime, 0, rng.Float64())
			if !b.random {
				others := demand.Subtract(total, reports[g])
				if g < b.disconnected {
					others = nil
				}
				s := retryslots.NewState(k, ends, promises[g].Report(now, meters[g].List(now)), others, gateways, &trend)
				after, _ = retryslots.Choose(s, retryslots.Caller{UsualFrom: 4080 * time.Millisecond, UsualTo: 4500 * time.Millisecond}, rng.Float64())
			}
			promises[g].Add(now, k, after)
			retries = append(retries, attempt{a.priority, at + after, true})
			out.told[a.priority]++
			out.mean[a.priority] += after
		}
		if (at+step)%retryslots.Interval == 0 {
			sumNew, sumReturned := 0.0, 0.0
			for p := range news {
				sumNew, sumReturned = sumNew+news[p], sumReturned+returned[p]
				if sumReturned > 0 {
					out.excess = max(out.excess, sumReturned-max(ends*retryslots.Interval.Seconds()-sumNew, 0))
				}
			}
			news, returned = [3]float64{}, [3]float64{}
		}
	}
	for p, n := range out.told {
		out.mean[p] /= time.Duration(max(n, 1))
	}
	return out
}

// TestReturnsStayWithinCapacity guards against callers that retry together. With random times the
// callers that were rejected in a burst return at the rate at which they were rejected. The margin
// is what the engines serve in one interval.
func TestReturnsStayWithinCapacity(t *testing.T) {
	margin := ends * retryslots.Interval.Seconds()
	for _, c := range []struct {
		name   string
		burst  burst
		margin float64
	}{
		{"4 times the load", burst{times: 4}, margin / 2},
		{"6 times the load", burst{times: 6}, margin},
		{"some gateways are disconnected", burst{times: 6, disconnected: gateways / 3}, margin},
		{"a replica dies", burst{times: 6, lost: func(at time.Duration) bool { return at >= time.Second && at < 1100*time.Millisecond }}, margin},
	} {
		slots := c.burst.play()
		c.burst.random = true
		random := c.burst.play()
		t.Logf("%s: %+v; random times: %+v", c.name, slots, random)
		assert.Assert(t, slots.excess <= c.margin && slots.excess < 0.75*random.excess, "%s: %v and %v", c.name, slots.excess, random.excess)
	}
}

// TestTimesWithinObjective checks that a caller is told a time within its objective if and only
// if capacity is expected then that no caller of equal or higher urgency was promised, and that
// a state without expected capacity gives the usual times.
func TestTimesWithinObjective(t *testing.T) {
	const ms = time.Millisecond
	usual := retryslots.Caller{Within: 1400 * ms, UsualFrom: 4080 * ms, UsualTo: 4500 * ms}
	own := func(rate int, returns ...int) []demand.Class {
		return []demand.Class{{Service: "llm", Organisation: 1, Route: 1, Rate: 1000 * rate, Returns: returns}, {Service: "llm", Organisation: 1, Route: 2, Rate: 1_000_000, Returns: []int{90, 90, 90}}}
	}
	for _, c := range []struct {
		name     string
		own      []demand.Class
		change   func(c *retryslots.Caller)
		ends     float64
		from, to time.Duration
		free     bool
	}{
		{"free, and less urgent requests don't count", own(12), nil, 20, 500 * ms, 1400 * ms, true},
		{"the first intervals are promised", own(12, 0, 0, 2, 2), nil, 20, 1000 * ms, 1400 * ms, true},
		{"all within the objective are promised", own(12, 0, 0, 2, 2, 2, 2), nil, 20, 1500 * ms, 1750 * ms, true},
		{"promises beyond the capacity delay it", own(12, 0, 0, 12), nil, 20, 2000 * ms, 2250 * ms, true},
		{"more requests than capacity", own(30), nil, 20, 4080 * ms, 4500 * ms, false},
		{"not before a time", own(12), func(c *retryslots.Caller) { c.NotBefore = 1200 * ms }, 20, 1200 * ms, 1400 * ms, true},
		{"a run ends in every second interval", own(0), nil, 2, 500 * ms, 1000 * ms, true},
		{"too late for the objective", own(12), func(c *retryslots.Caller) { c.Within = 0 }, 20, 500 * ms, 750 * ms, true},
	} {
		caller := usual
		if c.change != nil {
			c.change(&caller)
		}
		s := retryslots.NewState(key(1), c.ends, c.own, nil, 1, &retryslots.Trend{})
		for _, draw := range []float64{0, 0.5, 0.999} {
			after, free := retryslots.Choose(s, caller, draw)
			assert.Equal(t, free, c.free, c.name)
			assert.Assert(t, after >= c.from && after <= c.to, "%s: %v", c.name, after)
		}
	}
}

// TestPromisesExpire checks that promises count until their time, that the callers who return are
// not reported as new requests, and that nothing remains afterwards.
func TestPromisesExpire(t *testing.T) {
	var p retryslots.Promises
	p.Add(start, key(1), 600*time.Millisecond)
	p.Add(start, key(1), 4500*time.Millisecond)
	list := p.Report(start, nil)
	assert.Equal(t, len(list[0].Returns), retryslots.Intervals)
	assert.Equal(t, list[0].Returns[2], 1)
	rate := key(1)
	metered := []demand.Class{{Service: rate.Service, Organisation: 1, Route: 1, Rate: 1000, Tokens: 6000}}
	later := p.Report(start.Add(time.Second), metered)[0]
	assert.Equal(t, later.Rate, 500, "one of two requests in two seconds was a retry")
	assert.Equal(t, later.Tokens, 3000)
	assert.Equal(t, later.Returns[13]+later.Returns[14], 1)
	assert.Equal(t, len(p.Report(start.Add(7*time.Second), nil)), 0)
}
