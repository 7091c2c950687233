package registry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/registry"
)

// incarnation returns a report of the incarnation of server "i" that started at born.
func incarnation(born int64, state registry.State, sequence uint64) registry.Server {
	return registry.Server{ID: registry.IncarnationID("i", born), Name: "i", Born: born, Service: "s", Address: "10.0.0.1:80", State: state, Sequence: sequence}
}

func stateOf(r *registry.Registry, born int64) registry.State {
	s, known := r.Get(registry.IncarnationID("i", born))
	if !known {
		return ""
	}
	return s.State
}

// TestLateReportsDoNotRestoreEarlierIncarnation sends reports of a server that restarts
// under its name. If incarnations shared an ID, a server that had drained would stay
// unusable after its restart, and one that had crashed would keep the state of its
// earlier incarnation until its entry expired.
func TestLateReportsDoNotRestoreEarlierIncarnation(t *testing.T) {
	const first, second, third = 1000, 2000, 3000
	goneReport := registry.Server{ID: "i", State: registry.Gone}
	for _, c := range []struct {
		name    string
		reports []registry.Server
		// want holds the states of the three incarnations; empty for one that is not
		// known.
		want [3]registry.State
	}{
		{"comes back after draining", []registry.Server{incarnation(first, registry.Draining, 9), incarnation(second, registry.Ready, 1)}, [3]registry.State{registry.Gone, registry.Ready}},
		{"comes back after a crash", []registry.Server{incarnation(first, registry.Ready, 9), incarnation(second, registry.Ready, 1)}, [3]registry.State{registry.Gone, registry.Ready}},
		{"a late heartbeat of the earlier incarnation", []registry.Server{incarnation(first, registry.Ready, 9), incarnation(second, registry.Ready, 1), incarnation(first, registry.Ready, 99)}, [3]registry.State{registry.Gone, registry.Ready}},
		{"a late heartbeat of an unknown earlier incarnation", []registry.Server{incarnation(second, registry.Ready, 1), incarnation(first, registry.Ready, 99)}, [3]registry.State{"", registry.Ready}},
		{"a late report that the earlier incarnation drains", []registry.Server{incarnation(first, registry.Ready, 9), incarnation(second, registry.Ready, 1), incarnation(first, registry.Draining, 99)}, [3]registry.State{registry.Gone, registry.Ready}},
		{"a late report that the earlier incarnation has gone", []registry.Server{incarnation(second, registry.Ready, 1), incarnation(first, registry.Gone, 0)}, [3]registry.State{"", registry.Ready}},
		{"the newest incarnation leaves", []registry.Server{incarnation(second, registry.Ready, 1), incarnation(second, registry.Gone, 0)}, [3]registry.State{"", registry.Gone}},
		{"a report without a start time, gone", []registry.Server{incarnation(second, registry.Ready, 1), goneReport}, [3]registry.State{"", registry.Gone}},
		{"a report without a start time, ready", []registry.Server{incarnation(second, registry.Draining, 1), {ID: "i", Service: "s", Address: "10.0.0.1:80", State: registry.Ready, Sequence: 9}}, [3]registry.State{"", registry.Draining}},
		{"two restarts", []registry.Server{incarnation(first, registry.Ready, 1), incarnation(third, registry.Ready, 1), incarnation(second, registry.Ready, 1)}, [3]registry.State{registry.Gone, "", registry.Ready}},
		{"reports of one incarnation are ordered by sequence", []registry.Server{incarnation(second, registry.Draining, 5), incarnation(second, registry.Ready, 9)}, [3]registry.State{"", registry.Draining}},
	} {
		r := registry.New(time.Second)
		for _, w := range c.reports {
			_, _ = r.Report(now, w)
		}
		for n, born := range []int64{first, second, third} {
			assert.Equal(t, stateOf(r, born), c.want[n], "%s: incarnation %d", c.name, born)
		}
	}
}

// TestIncarnationWithClockSetBackIsRejected checks that an incarnation whose clock was
// set back is rejected while the later one is remembered, and accepted after that.
func TestIncarnationWithClockSetBackIsRejected(t *testing.T) {
	r := registry.New(time.Second)
	_, _ = r.Report(now, incarnation(5000, registry.Ready, 1))
	later := now.Add(30 * time.Minute)
	r.Expire(later)
	got, err := r.Report(later, incarnation(4000, registry.Ready, 1))
	assert.ErrorIs(t, err, registry.ErrSuperseded)
	assert.Equal(t, len(got), 0)
	r.Expire(now.Add(61 * time.Minute))
	assert.Equal(t, len(report(t, r, now.Add(61*time.Minute), incarnation(4000, registry.Ready, 1))), 1)
}

// TestReportCannotChangeServiceOrAddress checks that an incarnation keeps its service and
// address, whichever process sends the report.
func TestReportCannotChangeServiceOrAddress(t *testing.T) {
	r := registry.New(time.Second)
	_, _ = r.Report(now, server(registry.Ready, 1))
	for _, change := range []func(s *registry.Server){
		func(s *registry.Server) { s.Service = "other" },
		func(s *registry.Server) { s.Address = "10.0.0.2:80" },
	} {
		s := server(registry.Ready, 9)
		change(&s)
		got, err := r.Report(now, s)
		assert.ErrorIs(t, err, registry.ErrMismatch)
		assert.Equal(t, len(got), 0)
	}
	got, _ := r.Get("i")
	assert.DeepEqual(t, got, server(registry.Ready, 1))
}

// TestIncarnationIDsAreShortAndUnique checks that IDs are hardly longer than the names of
// servers and differ between incarnations and names.
func TestIncarnationIDsAreShortAndUnique(t *testing.T) {
	assert.Equal(t, registry.IncarnationID("i-7f3a91c2", 0), "i-7f3a91c2")
	seen := map[string]bool{}
	for _, name := range []string{"i-7f3a91c2", "i-7f3a91c3", "i-7f3a91c"} {
		for born := int64(1); born < 1000; born++ {
			id := registry.IncarnationID(name, born)
			assert.Assert(t, len(id) <= len("i-7f3a91c2ab") && !seen[id], id)
			seen[id] = true
		}
	}
}

// TestReplacedIncarnationIsPublishedOnce checks that the replacement of an incarnation is
// published exactly once, whether the earlier one was ready, gone or forgotten.
func TestReplacedIncarnationIsPublishedOnce(t *testing.T) {
	for name, before := range map[string]func(r *registry.Registry) time.Time{
		"ready": func(*registry.Registry) time.Time { return now },
		"gone": func(r *registry.Registry) time.Time {
			_, _ = r.Report(now, incarnation(1000, registry.Gone, 2))
			return now
		},
		"forgotten": func(r *registry.Registry) time.Time { r.Expire(now.Add(time.Minute)); return now.Add(time.Minute) },
	} {
		r := registry.New(time.Second)
		report(t, r, now, incarnation(1000, registry.Ready, 1))
		at := before(r)
		got := report(t, r, at, incarnation(2000, registry.Ready, 1))
		assert.Equal(t, len(got), 2, name)
		assert.DeepEqual(t, got[0].Server.Published(), registry.Server{ID: registry.IncarnationID("i", 1000), Name: "i", Born: 1000, State: registry.Gone, Next: 2000})
		assert.Equal(t, got[0].Server.Newest().ID, registry.IncarnationID("i", 2000), name)
		assert.Equal(t, len(report(t, r, at, incarnation(2000, registry.Ready, 2))), 0, name)
	}
}
