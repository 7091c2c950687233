package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var limiterBounds = Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 120000}

// newSynced returns a limiter of one organisation that has received an update without any usage,
// and the time.
func newSynced(s Share) (*Limiter, time.Time) {
	now := time.Unix(1000, 0)
	l := NewLimiter(limiterBounds)
	l.SetLimits(now, map[string]Limit{"o": {Rate: 10000, Burst: 10000}})
	s.Updated = now
	l.SetShare(now, s)
	l.MergeUsage(now, nil)
	return l, now
}

func TestTake(t *testing.T) {
	l, now := newSynced(Share{Connected: 1, Disconnected: 0.1})
	limit := Limit{Rate: 10000, Burst: 10000}
	capacity, rate := limiterBounds.capacity(limit), limiterBounds.leakRate(limit)
	assert.Equal(t, rate, 11250.0, "the burst is used once in a window")
	assert.Equal(t, capacity, 99000+120000-8*rate-60000-10000, "the bounds of a window, without the reserve")
	assert.Assert(t, l.Take(now, "o", capacity, 0).OK)
	v := l.Take(now, "o", 1125, 0)
	assert.Assert(t, !v.OK)
	assert.Equal(t, v.RetryAfter, 100*time.Millisecond, "the time in which as much leaks away")
	v = l.Take(now, "o", 1125, 0)
	assert.Assert(t, !v.OK)
	assert.Equal(t, v.RetryAfter, 1100*time.Millisecond, "after the request refused before it, at the gateway's own share")
	assert.Assert(t, l.Take(now, "unknown", 1e9, 0).OK, "no limit")

	later := now.Add(100 * time.Millisecond)
	assert.Assert(t, l.Take(later, "o", 1000, 0).OK)
	l.Charge(later, "o", -1000)
	assert.Assert(t, l.Take(later, "o", 1000, 0).OK, "a request that did not run is refunded")
	l.ChargeRemote(later, "o", 5000)
	l.SetShare(later, Share{Connected: 1, Disconnected: 0.1, Updated: later})
	assert.Assert(t, !l.Take(later.Add(100*time.Millisecond), "o", 1000, 0).OK, "the use of others counts")
}

// TestRequestLargerThanCapacity guards against refusing for ever a request that is larger than the
// capacity: it is accepted when nothing was used, and has to leak away before the next one.
func TestRequestLargerThanCapacity(t *testing.T) {
	l, now := newSynced(Share{Connected: 1, Disconnected: 0.1})
	assert.Assert(t, l.Take(now, "o", 100000, 0).OK)
	assert.Assert(t, !l.Take(now, "o", 1, 0).OK)
}

// TestMergeUsage guards against losing known usage to a report from a replica that knows less. Usage
// that was only assumed at the start must be replaced.
func TestMergeUsage(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLimiter(limiterBounds)
	l.SetLimits(now, map[string]Limit{"o": {Rate: 10000, Burst: 10000}})
	l.SetShare(now, Share{Connected: 1, Disconnected: 0.1, Updated: now})
	assert.Equal(t, l.Usage(now)["o"], int(limiterBounds.initialUsage(Limit{Rate: 10000, Burst: 10000})), "most of the capacity counts as used")
	l.MergeUsage(now, map[string]int{"o": 2000})
	assert.Equal(t, l.Usage(now)["o"], 2000)
	assert.Assert(t, l.Take(now, "o", 30000, 0).OK)
	l.MergeUsage(now, map[string]int{"o": 10000})
	assert.Equal(t, l.Usage(now)["o"], 32000)
}

// TestSharesSmallerThanARequest guards against gateways whose own share is smaller than one request
// using too little or too much together, however often callers retry.
func TestSharesSmallerThanARequest(t *testing.T) {
	const gateways, size, seconds = 300, 3000, 20
	limit := Limit{Rate: 10000, Burst: 10000}
	draw := 0.0
	taken := 0.0
	for range gateways {
		l, now := newSynced(Share{Connected: 1, Disconnected: 1.0 / gateways})
		for n := range seconds * 10 {
			draw += 0.6180339887
			draw -= float64(int(draw))
			if l.Take(now.Add(time.Second+time.Duration(n)*100*time.Millisecond), "o", size, draw).OK {
				taken += size
			}
		}
	}
	maxTaken := limiterBounds.capacity(limit) + limiterBounds.leakRate(limit)*(seconds+1)
	assert.Assert(t, taken < 1.1*maxTaken && taken > 0.5*maxTaken, "%.0f of %.0f", taken, maxTaken)
}

// TestPartitionedReplicaKeepsPeak guards against a partitioned replica that uses the shares of
// gateways it can't see any more. A replica that isn't partitioned must forget gateways that have
// gone.
func TestPartitionedReplicaKeepsPeak(t *testing.T) {
	for _, partitioned := range []bool{true, false} {
		now := time.Unix(1000, 0)
		l := NewLedger[int](now, limiterBounds)
		l.UpdateShares(now, 20, 20, false)
		now = now.Add(2 * peakTTL)
		for range 10 {
			now = now.Add(50 * time.Millisecond)
			l.UpdateShares(now, 5, 5, partitioned)
		}
		want := 1.0
		if partitioned {
			want = 5.0 / 20
		}
		assert.Equal(t, l.connectedShare, want, "partitioned %v", partitioned)
	}
}

// TestFrozenReplicaCatchesUp guards against a replica that was frozen, and receives all usage of
// that time at once, counting more than the others know of, as if few gateways had used it.
func TestFrozenReplicaCatchesUp(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := map[string]Limit{"o": {Rate: 10000, Burst: 10000}}
	running, frozen := NewLedger[int](now, limiterBounds), NewLedger[int](now.Add(1), limiterBounds)
	for _, l := range []*Ledger[int]{running, frozen} {
		l.SetLimits(now, limits)
		l.UpdateShares(now, 20, 20, false)
	}
	frozen.ApplyPeerUpdate(now, running.Snapshot(now))
	const seconds = 8
	var delayed []*UsageUpdate
	for n := range seconds * 20 {
		now = now.Add(50 * time.Millisecond)
		running.AddUsage(now, 1, map[string]int{"o": 300})
		running.UpdateShares(now, 20, 20, false)
		if u := running.PeerUpdate(now); u != nil {
			delayed = append(delayed, u)
		}
		if n < 20 {
			frozen.UpdateShares(now, 20, 20, false)
			for _, u := range delayed {
				frozen.ApplyPeerUpdate(now, u)
			}
			delayed = nil
		}
	}
	frozen.UpdateShares(now, 0, 0, true)
	for _, u := range delayed {
		frozen.ApplyPeerUpdate(now, u)
	}
	now = now.Add(200 * time.Millisecond)
	frozen.UpdateShares(now, 20, 20, false)
	frozen.ApplyPeerUpdate(now, running.Snapshot(now))
	got, want := frozen.limiter.Usage(now)["o"], running.limiter.Usage(now)["o"]
	assert.Assert(t, got <= want+int(limiterBounds.leakRate(limits["o"])/2), "%d, the others know of %d", got, want)
}

// TestPartitionedReplicaCatchesUp guards against a replica that counts seconds of delayed usage as
// current when a partition ends and all updates arrive at once.
func TestPartitionedReplicaCatchesUp(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := map[string]Limit{"o": {Rate: 10000, Burst: 10000}}
	other, partitioned := NewLedger[int](now, limiterBounds), NewLedger[int](now.Add(1), limiterBounds)
	for _, l := range []*Ledger[int]{other, partitioned} {
		l.SetLimits(now, limits)
		l.UpdateShares(now, 20, 20, false)
	}
	partitioned.ApplyPeerUpdate(now, other.Snapshot(now))
	partitioned.AddGateway(7)
	sent := 0
	update := func() {
		partitioned.SendGatewayUpdates(now, func(_ int, u *UsageUpdate) { sent += u.Used["o"] })
	}
	var delayed []*UsageUpdate
	for n := range 200 {
		now = now.Add(50 * time.Millisecond)
		other.AddUsage(now, 1, map[string]int{"o": 300})
		for _, l := range []*Ledger[int]{other, partitioned} {
			l.UpdateShares(now, 20, 20, false)
		}
		if u := other.PeerUpdate(now); u != nil {
			delayed = append(delayed, u)
		}
		if n < 60 || n == 199 {
			for _, u := range delayed {
				partitioned.ApplyPeerUpdate(now, u)
			}
			delayed = nil
		}
		if n == 198 {
			update()
			sent = 0
		}
	}
	update()
	got, want := partitioned.limiter.Usage(now)["o"], other.limiter.Usage(now)["o"]
	bound := int(limiterBounds.leakRate(limits["o"]))
	assert.Assert(t, got <= want+bound, "%d, the other knows of %d", got, want)
	assert.Assert(t, sent <= bound, "%d was sent to its gateways", sent)
}

// TestUsageSurvivesShareChanges guards against usage reported to a small group being multiplied
// when the group grows again, as if each of the other gateways had used as much.
func TestUsageSurvivesShareChanges(t *testing.T) {
	l, now := newSynced(Share{Connected: 1, Disconnected: 0.05})
	l.Charge(now, "o", 20000)
	l.SetShare(now, Share{Connected: 0.05, Disconnected: 0.05, Updated: now})
	assert.Equal(t, l.accounts["o"].used, 1000.0, "the share of what was used")
	l.ChargeRemote(now, "o", 5000)
	l.SetShare(now, Share{Connected: 1, Disconnected: 0.05, Updated: now})
	assert.Equal(t, l.Usage(now)["o"], 25000)
}

// TestLimitsChange guards against lost or wrong usage when limits change: usage stays when a limit
// changes, an organisation without a limit isn't counted any more, and a new limit starts with its
// burst used.
func TestLimitsChange(t *testing.T) {
	l, now := newSynced(Share{Connected: 1, Disconnected: 0.1})
	l.Charge(now, "o", 30000)
	l.SetLimits(now, map[string]Limit{"o": {Rate: 1000, Burst: 1000}, "new": {Rate: 500, Burst: 500}})
	assert.DeepEqual(t, l.Usage(now), map[string]int{"o": 30000, "new": int(math.Round(limiterBounds.initialUsage(Limit{Rate: 500, Burst: 500})))})
	assert.Assert(t, !l.Take(now, "o", 40000, 0).OK, "the lowered limit applies at once")
	l.SetShare(now.Add(time.Second), Share{Connected: 1, Disconnected: 0.1, Updated: now.Add(time.Second)})
	assert.Equal(t, l.Usage(now.Add(time.Second))["o"], 28875, "the lowered rate applies")
	l.SetLimits(now, map[string]Limit{"o": {}})
	assert.Assert(t, l.Take(now, "o", 1e9, 0).OK, "no limit")
}

// TestTakeUnreported guards against late reports when little remains of a limit, and against a
// report for each request otherwise.
func TestTakeUnreported(t *testing.T) {
	l, now := newSynced(Share{Connected: 1, Disconnected: 0.1})
	l.Charge(now, "o", 100)
	assert.Equal(t, len(l.TakeUnreported(now)), 0, "a small fraction of what remains")
	assert.DeepEqual(t, l.TakeUnreported(now.Add(maxReportDelay)), map[string]int{"o": 100})
	l.Charge(now, "o", 49900)
	assert.DeepEqual(t, l.TakeUnreported(now.Add(maxReportDelay)), map[string]int{"o": 49900})
	l.Charge(now, "o", -1)
	assert.DeepEqual(t, l.TakeUnreported(now.Add(2*maxReportDelay)), map[string]int{"o": -1})
}

// BenchmarkTake measures one decision among 310 organisations.
func BenchmarkTake(b *testing.B) {
	now := time.Unix(1000, 0)
	l := NewLimiter(limiterBounds)
	limits := map[string]Limit{}
	var names []string
	for n := range 310 {
		name := fmt.Sprint("organisation-", n)
		names = append(names, name)
		limits[name] = Limit{Rate: 1e6, Burst: 1e6}
	}
	l.SetLimits(now, limits)
	l.SetShare(now, Share{Connected: 1, Disconnected: 0.01, Updated: now})
	b.ReportAllocs()
	for n := range b.N {
		l.Take(now.Add(time.Duration(n)*time.Microsecond), names[n%len(names)], 3000, 0.5)
	}
}
