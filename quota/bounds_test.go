package quota

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestUseStaysWithinTheBounds wants no window above what the bounds allow, whatever
// happens to gateways and replicas, for organisations that ask for far more.
func TestUsageStaysWithinBounds(t *testing.T) {
	for name, fault := range simFaults {
		for _, gateways := range []int{6, 21, 103} {
			t.Run(fmt.Sprintf("%s, %d gateways", name, gateways), func(t *testing.T) {
				load := simLoad
				if name == "all gateways are cut off" || name == "replicas are cut in two" {
					load = simPartitionLoad
				}
				for seed := range uint64(6) {
					s := newSim(t, seed, gateways, 5, simLimits)
					s.run(24, load, fault)
					for org := range simLimits {
						assert.Assert(t, s.worstWindow(org) <= 1, "%s, seed %d: %.3f of what is allowed", org, seed, s.worstWindow(org))
					}
				}
			})
		}
	}
}

// TestUseAfterAllHaveEnded wants the bounds kept when all that was counted is lost, as
// often as is provided for.
func TestUsageAfterRestartOfAll(t *testing.T) {
	for seed := range uint64(6) {
		s := newSim(t, seed, 21, 5, simLimits)
		ends := 0
		s.run(24, simPartitionLoad, func(s *sim) {
			if ends++; ends <= 2 {
				s.restartAll()
			}
		})
		for org := range simLimits {
			assert.Assert(t, s.worstWindow(org) <= 1, "%s, seed %d: %.3f of what is allowed", org, seed, s.worstWindow(org))
		}
	}
}

// TestNothingWithinTheLimitIsRefused wants an organisation that asks for what lies within
// its limit to get all of it, however many gateways there are.
func TestUsageWithinLimitIsNotRefused(t *testing.T) {
	for _, gateways := range []int{6, 21, 103, 300} {
		s := newSim(t, 1, gateways, 5, simLimits)
		s.run(24, 0.85, simFaults["none"])
		for org := range simLimits {
			assert.Assert(t, s.refusedFraction(org) < 0.01, "%s, %d gateways: %d of %d refused", org, gateways, s.refused[org], s.asked[org])
		}
	}
}

// refusedPart is the part of an organisation's requests that were refused.
func (s *sim) refusedFraction(name string) float64 {
	return float64(s.refused[name]) / float64(max(s.asked[name], 1))
}

// TestFaultsRefuseLittle wants faults to cost little of what organisations usually ask for.
// Gateways that are not told have their own parts only for some tenths of a second, which
// are smaller than a request of a small organisation: that loses more.
func TestFaultsRefuseFewRequests(t *testing.T) {
	maxRefused := map[string]float64{"large": 0.1, "small": 0.2}
	for _, name := range []string{"gateways lose power", "gateways freeze", "a replica loses power", "a replica freezes", "replicas are cut in two"} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(6) {
				s := newSim(t, seed, 21, 5, simLimits)
				s.run(24, 0.55, simFaults[name])
				for org := range simLimits {
					assert.Check(t, s.refusedFraction(org) < maxRefused[org], "%s, seed %d: %d of %d refused", org, seed, s.refused[org], s.asked[org])
				}
			}
		})
	}
}
