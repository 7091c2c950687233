package spread_test

import (
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/spread"
	"github.com/ledgepin/ledgepin/wire"
)

var start = time.Unix(1000, 0)

func settingsText(rev uint64) []byte { return fmt.Appendf(nil, "fleet:\n  queue_limit: %d\n", rev) }

func fullUpdate(rev uint64) *wire.Settings {
	return &wire.Settings{Revision: rev, Sum: sha256.Sum256(settingsText(rev)), Whole: settingsText(rev)}
}

func deltaUpdate(rev uint64) *wire.Settings {
	d := settings.NewDelta(settingsText(rev-1), settingsText(rev))
	return &wire.Settings{Revision: rev, Sum: sha256.Sum256(settingsText(rev)), Delta: &d}
}

func TestApply(t *testing.T) {
	truncated := fullUpdate(3)
	truncated.Whole = truncated.Whole[:10]
	invalid := &wire.Settings{Revision: 3, Whole: []byte("fleet: {x: 1}"), Sum: sha256.Sum256([]byte("fleet: {x: 1}"))}
	for _, c := range []struct {
		name string
		m    *wire.Settings
		want spread.Outcome
		rev  uint64
	}{
		{"delta from the previous revision", deltaUpdate(3), spread.Applied, 3},
		{"full text", fullUpdate(9), spread.Applied, 9},
		{"same revision", fullUpdate(2), spread.Stale, 2},
		{"older revision", fullUpdate(1), spread.Stale, 2},
		{"delta that skips a revision", deltaUpdate(4), spread.NeedFullText, 2},
		{"truncated text", truncated, spread.Invalid, 2},
		{"text that does not parse", invalid, spread.Invalid, 2},
		{"neither text nor delta", &wire.Settings{Revision: 5}, spread.Invalid, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s spread.Store
			assert.Equal(t, s.Apply(start, fullUpdate(2)), spread.Applied)
			assert.Equal(t, s.Apply(start, c.m), c.want)
			assert.Equal(t, s.Revision(), c.rev)
			assert.Equal(t, string(s.Text()), string(settingsText(c.rev)))
		})
	}
}

func TestOnlyMatchingTextIsConfirmed(t *testing.T) {
	var s spread.Store
	assert.NilError(t, s.Load(4, settingsText(4)))
	assert.Assert(t, !s.Confirmed(), "settings from the disk count as confirmed")
	confirmation := &wire.Settings{Revision: 4, Sum: sha256.Sum256([]byte("other")), Confirmed: true}
	s.Apply(start, confirmation)
	assert.Assert(t, !s.Confirmed(), "a confirmation of another text was accepted")
	confirmation.Sum = sha256.Sum256(settingsText(4))
	assert.Equal(t, s.Apply(start, confirmation), spread.Stale)
	assert.Assert(t, s.Confirmed())
}

// TestRevisionNeverDecreases delivers updates between stores in any order, some lost, repeated
// or stale. It guards against a store that goes back to an older revision, and against one that
// can't reach the newest revision by pulling it.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stores := make([]spread.Store, 4) // the first is that of control
		newest := uint64(1)
		stores[0].Apply(start, fullUpdate(1))
		var inFlight []*wire.Settings
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			from := rapid.IntRange(0, 3).Draw(t, "from")
			to := rapid.IntRange(1, 3).Draw(t, "to")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				newest++
				stores[0].Apply(start, fullUpdate(newest))
			case 1, 2:
				if m := stores[from].UpdateFor(rapid.Uint64Range(0, newest).Draw(t, "have")); m != nil {
					inFlight = append(inFlight, m)
				}
			case 3:
				if len(inFlight) == 0 {
					continue
				}
				before := stores[to].Revision()
				stores[to].Apply(start, inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")])
				if stores[to].Revision() < before {
					t.Fatalf("store %d went back from revision %d to %d", to, before, stores[to].Revision())
				}
			}
		}
		for i := 1; i < 4; i++ {
			m := stores[0].UpdateFor(stores[i].Revision())
			if stores[i].Apply(start, m) == spread.NeedFullText {
				stores[i].Apply(start, stores[0].UpdateFor(0))
			}
			if stores[i].Revision() != newest {
				t.Fatalf("store %d has revision %d, want %d", i, stores[i].Revision(), newest)
			}
		}
	})
}

func TestDamagedFileIsAnError(t *testing.T) {
	dir := t.TempDir()
	f := spread.NewFile(dir)
	rev, _, err := f.Read()
	assert.NilError(t, err)
	assert.Equal(t, rev, uint64(0))
	assert.NilError(t, f.Write(7, settingsText(7)))
	rev, got, err := f.Read()
	assert.NilError(t, err)
	assert.Equal(t, rev, uint64(7))
	assert.Equal(t, string(got), string(settingsText(7)))
	path := filepath.Join(dir, "settings.kept")
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	data[len(data)-1] ^= 1
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	_, _, err = f.Read()
	assert.ErrorContains(t, err, "damaged")
}
