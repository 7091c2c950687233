package fleet_test

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/settings"
)

func settingsText(n int) []byte { return fmt.Appendf(nil, "fleet:\n  queue_limit: %d\n", n) }

// changeCommand returns an encoded change from one text to another.
func changeCommand(t testing.TB, id string, base uint64, from, to []byte) []byte {
	t.Helper()
	data, err := fleet.Encode(fleet.Change{
		ID: id, Base: base, Delta: settings.NewDelta(from, to), Sum: sha256.Sum256(to), Who: "op", When: 1e9, Edits: []string{"x"},
	})
	assert.NilError(t, err)
	return data
}

func apply(t testing.TB, s *fleet.State, data []byte) fleet.Result {
	t.Helper()
	r, err := s.Apply(data)
	assert.NilError(t, err)
	return r
}

func TestChangeIDIsAppliedOnce(t *testing.T) {
	s := fleet.New()
	first := changeCommand(t, "a", 0, nil, settingsText(1))
	assert.DeepEqual(t, apply(t, s, first), fleet.Result{ID: "a", Revision: 1, OK: true})
	rejected := apply(t, s, changeCommand(t, "b", 0, nil, settingsText(2)))
	assert.Assert(t, !rejected.OK, "based on an old revision")
	assert.DeepEqual(t, apply(t, s, first), fleet.Result{ID: "a", Revision: 1, OK: true})
	repeated := apply(t, s, changeCommand(t, "b", 1, settingsText(1), settingsText(2)))
	assert.DeepEqual(t, repeated, rejected)
	assert.Equal(t, s.Revision(), uint64(1), "a second change with the same ID was applied")
	_, err := s.Apply([]byte("\xff"))
	assert.ErrorContains(t, err, "bad command")
}

func TestSnapshotContainsWholeState(t *testing.T) {
	s := fleet.New()
	for i := range 10 {
		apply(t, s, changeCommand(t, fmt.Sprint(i), uint64(i), s.Text(), settingsText(i)))
	}
	data, err := s.Snapshot()
	assert.NilError(t, err)
	r, err := fleet.Restore(data)
	assert.NilError(t, err)
	assert.Equal(t, r.Revision(), uint64(10))
	assert.DeepEqual(t, r.History(7), s.History(7))
	got, ok := r.Result("3")
	assert.Assert(t, ok && got.Revision == 4)
	again, err := r.Snapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, again, data)
}

// changeInput is an attempt of an operator to change a revision.
type changeInput struct{ base uint64 }

// TestConcurrentChangesAreLinearizable lets operators change the same revision at the same time
// and checks the history of their results. It guards against two changes that both succeed on
// one base, of which the second would undo the first.
func TestConcurrentChangesAreLinearizable(t *testing.T) {
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, output any) (bool, any) {
			revision, in, out := state.(uint64), input.(changeInput), output.(fleet.Result)
			if !out.OK {
				return in.base != revision && out.Revision == revision, revision
			}
			return in.base == revision && out.Revision == revision+1, revision + 1
		},
		Equal: func(a, b any) bool { return a == b },
	}
	rng := rand.New(rand.NewPCG(1, 1))
	s := fleet.New()
	var ops []porcupine.Operation
	for i := range 200 {
		base := s.Revision() - min(s.Revision(), uint64(rng.IntN(2)))
		from := s.Text()
		r := apply(t, s, changeCommand(t, fmt.Sprint(i), base, from, settingsText(i)))
		revision := int64(10 * i)
		ops = append(ops, porcupine.Operation{
			ClientId: i % 4, Input: changeInput{base}, Output: r, Call: revision - int64(rng.IntN(30)), Return: revision + 1 + int64(rng.IntN(30)),
		})
	}
	assert.Assert(t, porcupine.CheckOperations(model, ops))
	ops = append(ops, ops[len(ops)-1])
	ops[len(ops)-1].Output = fleet.Result{OK: true, Revision: 1}
	assert.Assert(t, !porcupine.CheckOperations(model, ops), "the model accepted a second change to revision 1")
}

func BenchmarkRestore100000(b *testing.B) {
	s := fleet.New()
	for i := range 100000 {
		apply(b, s, changeCommand(b, fmt.Sprint("change-", i), uint64(i), s.Text(), settingsText(i)))
	}
	data, err := s.Snapshot()
	assert.NilError(b, err)
	b.ReportMetric(float64(len(data)), "snapshot-bytes")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := fleet.Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSnapshot100000(b *testing.B) {
	s := fleet.New()
	for i := range 100000 {
		apply(b, s, changeCommand(b, fmt.Sprint("change-", i), uint64(i), s.Text(), settingsText(i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
}
