package quota

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestUsageStaysWithinBounds guards against a window in which organisations that ask for far more
// than their limit use more than the bounds allow, whatever faults gateways and replicas have.
func TestUsageStaysWithinBounds(t *testing.T) {
	for name, fault := range simFaults {
		for _, gateways := range []int{6, 21, 103} {
			t.Run(fmt.Sprintf("%s, %d gateways", name, gateways), func(t *testing.T) {
				load := simLoad
				if name == "all gateways are disconnected" || name == "replicas are partitioned" {
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

// TestUsageAfterRestartOfAll guards against usage beyond the bounds when all processes restart and
// all counts are lost, as often as the reserve provides for.
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

// TestUsageWithinLimitIsNotRefused guards against refusals of requests within the limit, with any
// number of gateways.
func TestUsageWithinLimitIsNotRefused(t *testing.T) {
	for _, gateways := range []int{6, 21, 103, 300} {
		s := newSim(t, 1, gateways, 5, simLimits)
		s.run(24, 0.85, simFaults["none"])
		for org := range simLimits {
			assert.Assert(t, s.refusedFraction(org) < 0.01, "%s, %d gateways: %d of %d refused", org, gateways, s.refused[org], s.asked[org])
		}
	}
}

// refusedFraction returns the fraction of an organisation's requests that were refused.
func (s *sim) refusedFraction(name string) float64 {
	return float64(s.refused[name]) / float64(max(s.asked[name], 1))
}

// TestFaultsRefuseFewRequests guards against faults during which many requests within the limit are
// refused. Gateways without updates have only their own shares for some tenths of a second; these
// are smaller than one request of a small organisation, which therefore loses more.
func TestFaultsRefuseFewRequests(t *testing.T) {
	maxRefused := map[string]float64{"large": 0.1, "small": 0.2}
	for _, name := range []string{"gateways lose power", "gateways freeze", "a replica loses power", "a replica freezes", "replicas are partitioned"} {
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
