package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/registry"
)

// TestTrusted guards against complete failures that count against the connections to a server, which
// left nearly all requests that may run once on new ones, and against kept connections to a server
// that has lost an answer or could not be reached at any gateway.
func TestTrusted(t *testing.T) {
	for _, tt := range []struct {
		name        string
		own, others []Outcome
		role        string
		state       registry.State
		want        bool
	}{
		{name: "no failure", want: true},
		{name: "complete failure here", own: []Outcome{Failure}, want: true},
		{name: "complete failures elsewhere", others: []Outcome{Failure, Failure}, want: true},
		{name: "full", own: []Outcome{Busy}, others: []Outcome{Busy}, want: true},
		{name: "cut answer here", own: []Outcome{Lost}},
		{name: "cut answer elsewhere", others: []Outcome{Lost}},
		{name: "success after a cut answer", own: []Outcome{Lost, Success}},
		{name: "failed connection here", own: []Outcome{Unreachable}},
		{name: "success after a failed connection", own: []Outcome{Unreachable, Success}},
		{name: "failed connection elsewhere", others: []Outcome{Unreachable}},
		{name: "blocked here", own: []Outcome{Failure, Failure, Failure, Failure, Failure}},
		{name: "ejected", others: []Outcome{Failure, Failure, Failure, Failure, Failure, Failure}, own: []Outcome{Failure}},
		{name: "leaving", state: registry.Draining},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			here, elsewhere := NewFleet("a", "z"), NewFleet("b", "z")
			exchange := func(at time.Time) {
				here.SetOthers(at, OtherGateways{Gateways: 2, Known: 2, Evidence: elsewhere.Evidence(at)})
			}
			state := tt.state
			if state == "" {
				state = registry.Ready
			}
			// The second server keeps the first one from being the whole group.
			list := []registry.Server{{ID: "s", Service: "plain", Address: "1", State: state}, {ID: "t", Service: "plain", Address: "2", State: registry.Ready}}
			for f, outcomes := range map[*Fleet][]Outcome{here: tt.own, elsewhere: tt.others} {
				f.Update(now, list)
				for _, o := range outcomes {
					f.NoteOutcome(now, "s", o, time.Millisecond)
				}
			}
			exchange(now)
			assert.Equal(t, here.Trusted(now, "s"), tt.want)
			assert.Equal(t, here.CountLossEjected(now)+len(here.TakeLossChanges()), 0, "only engines are ejected for losses")

			later := now.Add(evidenceTime + maxEjection + 2*readmitTime)
			for _, f := range []*Fleet{here, elsewhere} {
				f.NoteHeartbeats(later, []string{"s", "t"})
			}
			exchange(later)
			assert.Equal(t, here.Trusted(later, "s"), tt.state == "")
			for _, f := range []*Fleet{here, elsewhere} {
				f.Sweep(later)
				assert.Equal(t, len(f.losses), 0, "losses are forgotten")
			}
		})
	}
}

// TestTrustedAgainAfterLoss covers a plain server that loses an answer and restarts: losses at this
// gateway and at another one count for evidenceTime, also against the next incarnation.
func TestTrustedAgainAfterLoss(t *testing.T) {
	now := time.Unix(1000, 0)
	report := func(born int64) registry.Server {
		return registry.Server{ID: registry.IncarnationID("s", born), Name: "s", Born: born, Service: "plain", Address: "1", State: registry.Ready, Sequence: uint64(born)}
	}
	for _, own := range []bool{true, false} {
		here, elsewhere := NewFleet("a", "z"), NewFleet("b", "z")
		f := elsewhere
		if own {
			f = here
		}
		for _, g := range []*Fleet{here, elsewhere} {
			g.Update(now, []registry.Server{report(1)})
		}
		f.NoteOutcome(now, report(1).ID, Lost, 0)
		for _, g := range []*Fleet{here, elsewhere} {
			g.Update(now, []registry.Server{report(2)})
		}
		for _, after := range []time.Duration{0, evidenceTime - time.Millisecond, evidenceTime} {
			at := now.Add(after)
			here.SetOthers(at, OtherGateways{Gateways: 2, Known: 2, Evidence: elsewhere.Evidence(at)})
			assert.Equal(t, here.Trusted(at, report(2).ID), after == evidenceTime, "%v, own: %v", after, own)
		}
	}
}
