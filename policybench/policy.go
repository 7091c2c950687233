package policybench

import (
	"time"

	"github.com/ledgepin/ledgepin/placement"
	"github.com/ledgepin/ledgepin/router"
)

// Names of the policies that are compared.
const (
	Ledgepin         = "ledgepin"
	NoReservation    = "ledgepin without reservation"
	RoundRobin       = "round robin"
	LeastOutstanding = "least outstanding"
	SmallestTotal    = "smallest total processing time"
)

// Policies returns the names of all policies.
func Policies() []string {
	return []string{Ledgepin, NoReservation, RoundRobin, LeastOutstanding, SmallestTotal}
}

// newPolicyByName returns a function that creates a policy for each entry. unbounded reports that
// the policy has no admission control, so that engines queue all requests.
func newPolicyByName(name string) (newPolicy func() router.Policy, unbounded bool) {
	switch name {
	case NoReservation:
		return func() router.Policy {
			p := router.DefaultPolicy()
			p.ReserveDecodeFirst = false
			return p
		}, false
	case RoundRobin:
		return func() router.Policy { return baseline(roundRobin()) }, true
	case LeastOutstanding:
		return func() router.Policy { return baseline(leastOutstanding) }, true
	case SmallestTotal:
		return func() router.Policy { return baseline(smallestTotal) }, true
	}
	return router.DefaultPolicy, false
}

// chooseServer chooses one server of a list, nil if there is none.
type chooseServer func(list []*placement.Server, q placement.Query) *placement.Server

// baseline returns a policy that starts each request at once at the server that choose returns,
// and chooses a decode server only when the prefill is complete.
func baseline(choose chooseServer) router.Policy {
	return router.Policy{
		Choose: func(v *placement.View, _ time.Time, q placement.Query) placement.Choice {
			s := choose(usable(v.Prefill(), false), q)
			if s == nil {
				return placement.Choice{Exclusion: placement.Disconnected}
			}
			return placement.Choice{Prefill: s, Work: q.Tokens}
		},
		ChooseDecode: func(v *placement.View, _ time.Time, q placement.Query, _ *placement.Server) *placement.Server {
			return choose(usable(v.Decode(), true), q)
		},
	}
}

func usable(list []*placement.Server, slots bool) []*placement.Server {
	var out []*placement.Server
	for _, s := range list {
		if s.Connected() && !s.Leaving() && len(s.LoadedModels()) > 0 && (!slots || s.Free() > 0) {
			out = append(out, s)
		}
	}
	return out
}

func roundRobin() chooseServer {
	n := 0
	return func(list []*placement.Server, _ placement.Query) *placement.Server {
		if len(list) == 0 {
			return nil
		}
		n++
		return list[n%len(list)]
	}
}

func minBy(list []*placement.Server, cost func(*placement.Server) float64) *placement.Server {
	var out *placement.Server
	for _, s := range list {
		if out == nil || cost(s) < cost(out) {
			out = s
		}
	}
	return out
}

func leastOutstanding(list []*placement.Server, _ placement.Query) *placement.Server {
	return minBy(list, func(s *placement.Server) float64 { return float64(s.Outstanding()) })
}

// smallestTotal implements the rule of SWARM parallelism (Ryabinin et al., 2023): it chooses the
// server that would complete the work first, according to its queue and its measured speed.
func smallestTotal(list []*placement.Server, q placement.Query) *placement.Server {
	return minBy(list, func(s *placement.Server) float64 {
		if s.Role == "decode" {
			return float64(s.Outstanding()+1) * s.TokenTime().Seconds()
		}
		return float64(s.QueuedTokens(placement.Priorities-1)+q.Tokens) / s.Rate()
	})
}
