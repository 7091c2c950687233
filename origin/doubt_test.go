package origin_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/origin"
)

var (
	v1        = origin.Origin{Service: "s", Version: "v1"}
	attempt   = origin.KeyOf("", "q1")
	begunAtE1 = origin.Doubt{Server: "e1", Begun: start}
)

// TestDoubtfulOriginsAreNotKnown guards against a stream whose record is taken for certain before its
// server has been heard from after the stream began, or after another one has taken the server's place.
func TestDoubtfulOriginsAreNotKnown(t *testing.T) {
	reported := func(at time.Time) func(origin.Doubt) bool {
		return func(d origin.Doubt) bool { return d.SettledBy(at) }
	}
	for _, tt := range []struct {
		name            string
		play            func(t *origin.Table)
		known, recorded bool
	}{
		{"no report since", func(*origin.Table) {}, false, true},
		{"a report before", func(t *origin.Table) { t.Settle(start, "e1", reported(start.Add(-time.Second))) }, false, true},
		{"a report that may have been late", func(t *origin.Table) { t.Settle(start, "e1", reported(start.Add(400*time.Millisecond))) }, false, true},
		{"a later report", func(t *origin.Table) { t.Settle(start, "e1", reported(start.Add(time.Second))) }, true, true},
		{"a later report of another server", func(t *origin.Table) { t.Settle(start, "e2", reported(start.Add(time.Second))) }, false, true},
		{"replaced", func(t *origin.Table) { t.MarkDoubtfulAmbiguous(start, "e1") }, false, true},
		{"replaced, then a report that comes late", func(t *origin.Table) {
			t.MarkDoubtfulAmbiguous(start, "e1")
			t.Settle(start, "e1", reported(start.Add(time.Second)))
		}, false, true},
		{"a later report, then replaced", func(t *origin.Table) {
			t.Settle(start, "e1", reported(start.Add(time.Second)))
			t.MarkDoubtfulAmbiguous(start, "e1")
		}, true, true},
		{"a certain record of the origin", func(t *origin.Table) { t.Add(start, attempt, v1) }, true, true},
		{"a certain record of another one", func(t *origin.Table) { t.Add(start, attempt, origin.Origin{Service: "s", Version: "v2"}) }, false, true},
		{"begun again elsewhere, a report of the first server", func(t *origin.Table) {
			t.AddDoubtful(start, attempt, v1, origin.Doubt{Server: "e2", Begun: start.Add(time.Second)})
			t.Settle(start, "e1", reported(start.Add(5*time.Second)))
		}, false, true},
		{"begun again elsewhere, a report of that server", func(t *origin.Table) {
			t.AddDoubtful(start, attempt, v1, origin.Doubt{Server: "e2", Begun: start.Add(time.Second)})
			t.Settle(start, "e2", reported(start.Add(5*time.Second)))
		}, true, true},
		{"forgotten", func(t *origin.Table) { t.Sweep(start.Add(origin.Retention + time.Second)) }, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			table := origin.NewTable(10)
			assert.Assert(t, table.AddDoubtful(start, attempt, v1, begunAtE1))
			tt.play(table)
			at, known, recorded := table.Find(attempt)
			assert.Equal(t, known, tt.known)
			assert.Equal(t, recorded, tt.recorded)
			assert.Assert(t, !known || at == v1)
			if known || !recorded {
				assert.Equal(t, len(table.DoubtfulServers()), 0)
			}
		})
	}
}

// TestDoubtTravels guards against a doubt that is lost or becomes younger on its way to another table, and
// against a certain record that another table's doubt reverts.
func TestDoubtTravels(t *testing.T) {
	from, to := origin.NewTable(10), origin.NewTable(10)
	from.AddDoubtful(start, attempt, v1, begunAtE1)
	later := start.Add(3 * time.Second)
	records, sent := from.Since(later, 0, 10)
	assert.Equal(t, len(to.Merge(later, records)), 1)
	_, d, ok := to.FindDoubtful(attempt)
	assert.Assert(t, ok)
	assert.Equal(t, d, begunAtE1)
	from.Settle(later, "e1", func(origin.Doubt) bool { return true })
	settled, _ := from.Since(later, sent, 10)
	assert.Equal(t, len(settled.Certain), 1)
	assert.Equal(t, len(to.Merge(later, settled)), 1)
	_, known, _ := to.Find(attempt)
	assert.Assert(t, known)
	assert.Equal(t, len(to.Merge(later, records)), 0, "the earlier record again")
	_, known, _ = to.Find(attempt)
	assert.Assert(t, known)
}
