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

// burst simulates load A: engines that serve the most urgent requests of each 50 ms, as many as
// runs have ended, and gateways that reject the others, which retry once.
type burst struct {
	seed uint64
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

// play returns the largest number of callers that returned in 250 ms beyond what new requests of
// equal or higher urgency left free.
func (b burst) play() (excess float64) {
	const step = 50 * time.Millisecond
	type attempt struct {
		priority int
		due      time.Duration
		retry    bool
	}
	rng := rand.New(rand.NewPCG(b.seed, 1))
	var promises [gateways]retryslots.Promises
	var meters [gateways]demand.Meter
	var own, reports [gateways][]demand.Class
	var trend retryslots.Trend
	var pending []attempt
	capacity := 0.0
	var fresh, returned [3]float64 // of the current interval
	for at := -3 * time.Second; at < 8*time.Second; at += step {
		now := start.Add(at)
		reports = own
		var total []demand.Class
		for g := range own {
			own[g] = promises[g].Report(now, meters[g].List(now))
			if g%3 != 0 || b.lost == nil || !b.lost(at) {
				total = demand.Add(total, reports[g])
			}
		}
		trend.Add(now, total)
		for priority, rate := range []float64{10, 14, 19} {
			if at >= 0 && at < 2*time.Second {
				rate *= b.times
			}
			// The number of arrivals by the end of the step, less that at its start.
			for range int(rate*(at+step+time.Hour).Seconds()) - int(rate*(at+time.Hour).Seconds()) {
				pending = append(pending, attempt{priority: priority, due: at})
			}
		}
		slices.SortStableFunc(pending, func(a, b attempt) int { return a.priority - b.priority })
		capacity = min(capacity+ends*step.Seconds(), ends*retryslots.Interval.Seconds())
		var later []attempt
		for _, a := range pending {
			if a.due > at {
				later = append(later, a)
				continue
			}
			g, k := rng.IntN(gateways), key(a.priority)
			meters[g].Add(now, k, 5200, 6180)
			count := &fresh
			if a.retry {
				count = &returned
			}
			count[a.priority]++
			if capacity >= 1 {
				capacity--
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
			if !a.retry {
				promises[g].Add(now, k, after)
				later = append(later, attempt{a.priority, at + after, true})
			}
		}
		pending = later
		if (at+step)%retryslots.Interval == 0 {
			free, back := ends*retryslots.Interval.Seconds(), 0.0
			for p := range fresh {
				free, back = free-fresh[p], back+returned[p]
				if back > 0 {
					excess = max(excess, back-max(free, 0))
				}
			}
			fresh, returned = [3]float64{}, [3]float64{}
		}
	}
	return excess
}

// TestReturnsStayWithinCapacity guards against callers that retry together. With random times the
// callers that were rejected in a burst return at the rate at which they were rejected. The margin
// is what the engines serve in 300 ms; at 4 times the load random times stay within it too.
func TestReturnsStayWithinCapacity(t *testing.T) {
	const margin = 0.3 * ends
	for name, b := range map[string]burst{
		"4 times the load":               {times: 4},
		"6 times the load":               {times: 6},
		"some gateways are disconnected": {times: 6, disconnected: gateways / 3},
		"a replica dies":                 {times: 6, lost: func(at time.Duration) bool { return at >= time.Second && at < 1100*time.Millisecond }},
	} {
		slots, random := 0.0, 0.0
		for b.seed = range uint64(5) {
			b.random = false
			slots += b.play() / 5
			b.random = true
			random += b.play() / 5
		}
		t.Logf("%s: %.1f callers beyond the free capacity, %.1f with random times", name, slots, random)
		assert.Check(t, random > margin || b.times < 6, "the random times stay within the margin")
		assert.Check(t, slots <= margin && slots < random, "%s: %v and %v", name, slots, random)
	}
}

// TestTimesWithinObjective checks that a caller is told a time within its objective if and only
// if capacity is expected then that no caller of equal or higher urgency was promised, and that
// a state without expected capacity gives the usual times.
func TestTimesWithinObjective(t *testing.T) {
	const ms = time.Millisecond
	own := func(rate int, returns ...int) []demand.Class {
		return []demand.Class{{Service: "llm", Organisation: 1, Route: 1, Rate: 1000 * rate, Returns: returns}, {Service: "llm", Organisation: 1, Route: 2, Rate: 1_000_000, Returns: []int{90, 90, 90}}}
	}
	for _, c := range []struct {
		name                        string
		own                         []demand.Class
		ends                        float64
		notBefore, within, from, to time.Duration
	}{
		{"free, and less urgent requests don't count", own(12), 20, 0, 1400 * ms, 500 * ms, 1400 * ms},
		{"the first intervals are promised", own(12, 0, 0, 2, 2), 20, 0, 1400 * ms, 1000 * ms, 1400 * ms},
		{"all within the objective are promised", own(12, 0, 0, 2, 2, 2, 2), 20, 0, 1400 * ms, 4080 * ms, 4500 * ms},
		{"promises beyond the capacity delay it", own(12, 0, 0, 4), 20, 0, 1400 * ms, 1000 * ms, 1250 * ms},
		{"more requests than capacity", own(30), 20, 0, 1400 * ms, 4080 * ms, 4500 * ms},
		{"not before a time", own(12), 20, 1200 * ms, 1400 * ms, 1200 * ms, 1400 * ms},
		{"a run ends in every second interval", own(0), 2, 0, 1400 * ms, 500 * ms, 1000 * ms},
		{"too late for the objective", own(12), 20, 0, 0, 4080 * ms, 4500 * ms},
	} {
		s := retryslots.NewState(key(1), c.ends, c.own, nil, 1, &retryslots.Trend{})
		for _, draw := range []float64{0, 0.5, 0.999} {
			after, free := retryslots.Choose(s, retryslots.Caller{NotBefore: c.notBefore, Within: c.within, UsualFrom: 4080 * ms, UsualTo: 4500 * ms}, draw)
			assert.Equal(t, free, c.name != "more requests than capacity", c.name)
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
	metered := []demand.Class{{Service: "llm", Organisation: 1, Route: 1, Rate: 1000, Tokens: 6000}}
	later := p.Report(start.Add(time.Second), metered)[0]
	assert.Equal(t, later.Rate, 500, "one of two requests in two seconds was a retry")
	assert.Equal(t, later.Tokens, 3000)
	assert.Equal(t, later.Returns[13]+later.Returns[14], 1)
	assert.Equal(t, len(p.Report(start.Add(7*time.Second), nil)), 0)
}

// TestCallersOfOneIntervalAreSpread rejects callers one after the other while no other gateway is known
// to have promised anything: all of them were told the first hundredths of an interval.
func TestCallersOfOneIntervalAreSpread(t *testing.T) {
	const callers = 16
	most := 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := retryslots.State{Ends: 80}
		ticks := map[time.Duration]int{}
		for range callers {
			after, free := retryslots.Choose(s, retryslots.Caller{Within: 10 * time.Second}, rng.Float64())
			assert.Assert(t, free)
			s.Promised[after/retryslots.Interval]++
			ticks[after/(50*time.Millisecond)]++
		}
		for _, n := range ticks {
			most = max(most, n)
		}
	}
	assert.Assert(t, most <= callers*2/3, "%d of %d callers are told the same 50 ms", most, callers)
}
