package ratelimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/ratelimit"
)

// maxInFourSeconds is the largest number of requests that a limited server may get in four seconds.
func maxInFourSeconds(rate float64) float64 { return 1.5*4*rate + 5 }

var fleetSizes = []int{5, 21, 103, 608}

func replicaCount(gateways int) int { return map[int]int{5: 5, 21: 5, 103: 7, 608: 11}[gateways] }

// TestLimitedServerIsNotOverloaded guards against more requests than the bound in any four seconds,
// with limits from zero to many times what a gateway has: it keeps restarting processes, moving
// gateways to other replicas and partitioning replicas. After the faults end, requests must get
// through again.
func TestLimitedServerIsNotOverloaded(t *testing.T) {
	for _, gateways := range fleetSizes {
		length := 30 * time.Second
		if gateways > 500 {
			length = 15 * time.Second
		}
		for _, rate := range []float64{0, 0.2, 1, 4.1, 30, 200} {
			for _, cuts := range []bool{false, true} {
				l := ratelimit.Limit{}
				l.Observe(start, ratelimit.Observation{Limited: true, Rate: rate})
				allowed, _ := l.Rate(start)
				s := newSim(uint64(gateways)+uint64(rate*10), byTokens, allowed, gateways, replicaCount(gateways))
				s.faults, s.cuts = true, cuts
				for range int(length / simStep) {
					s.step()
				}
				t.Logf("%3d gateways, %5.1f requests a second, cuts %5v: at most %4d in 4 s of %.1f, %.2f of the rate used", gateways, rate, cuts, s.maxInWindow, maxInFourSeconds(rate), float64(s.total)/(allowed*length.Seconds()))
				assert.Assert(t, float64(s.maxInWindow) <= maxInFourSeconds(rate), "%d gateways, rate %v", gateways, rate)
				during := s.total
				s.faults = false
				for range int(15 * time.Second / simStep) {
					s.step()
				}
				assert.Assert(t, s.total > during, "%d gateways, rate %v: no requests are sent after the faults", gateways, rate)
				assert.Assert(t, float64(s.maxInWindow) <= maxInFourSeconds(rate))
			}
		}
	}
}

// TestAllowedRateIsUsed guards against a limit that is mostly unused while there is demand,
// including when a fifth of the gateways has all requests. It logs the results of the alternative
// strategies for comparison.
func TestAllowedRateIsUsed(t *testing.T) {
	const length = 40 * time.Second
	for _, gateways := range fleetSizes {
		for _, uneven := range []bool{false, true} {
			for _, strat := range []strategy{byTokens, byShares, byLease, byWholeLimit} {
				s := newSim(uint64(gateways), strat, 4.1, gateways, replicaCount(gateways))
				s.uneven = uneven
				for range int(length / simStep) {
					s.step()
				}
				used := float64(s.total) / (4.1 * length.Seconds())
				t.Logf("%3d gateways, uneven %5v, by %-11v: at most %4d in 4 s of %.1f, %.2f of the rate used, %.0f messages a second", gateways, uneven, strat, s.maxInWindow, maxInFourSeconds(4.1), used, float64(s.messagesSent)/length.Seconds())
				if strat == byTokens {
					assert.Assert(t, used >= 0.7, "%d gateways: %.2f", gateways, used)
					assert.Assert(t, float64(s.maxInWindow) <= maxInFourSeconds(4.1))
				}
			}
		}
	}
}
