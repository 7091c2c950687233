package fleet_test

import (
	"encoding/json"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wal"
)

// goldenState is the state of build 55b4ff8 after all entries of its log.
type goldenState struct {
	Revision uint64         `json:"revision"`
	Text     string         `json:"text"`
	Table    *route.Table   `json:"table"`
	History  []fleet.Past   `json:"history"`
	Results  []fleet.Result `json:"results"`
}

func assertGoldenState(t *testing.T, s *fleet.State) {
	t.Helper()
	data, err := os.ReadFile("../control/testdata/55b4ff8/state.json")
	assert.NilError(t, err)
	var want goldenState
	assert.NilError(t, json.Unmarshal(data, &want))
	got := goldenState{Revision: s.Revision(), Text: string(s.Text()), Table: s.Table(), History: s.History(0)}
	for _, w := range want.Results {
		r, ok := s.Result(w.ID)
		assert.Assert(t, ok, w.ID)
		got.Results = append(got.Results, r)
	}
	marshal := func(k goldenState) string {
		for i := range k.History {
			k.History[i].When = k.History[i].When.UTC()
		}
		text, err := json.MarshalIndent(k, "", " ")
		assert.NilError(t, err)
		return string(text)
	}
	assert.Equal(t, marshal(got), marshal(want))
}

// TestGoldenSnapshot restores a snapshot of build 55b4ff8 and encodes it to the same bytes
// again: while no newer version is in force, that build must be able to read the snapshots of
// this one.
func TestGoldenSnapshot(t *testing.T) {
	data, err := os.ReadFile("testdata/55b4ff8/fleet.snapshot")
	assert.NilError(t, err)
	s, err := fleet.Restore(data)
	assert.NilError(t, err)
	assertGoldenState(t, s)
	again, err := s.Snapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, again, data)
}

// TestGoldenCommands applies the log of build 55b4ff8: its commands must have the same effect
// as in that build.
func TestGoldenCommands(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.CopyFS(dir, os.DirFS("../control/testdata/55b4ff8/whole")))
	log, opened, err := wal.Open(dir)
	assert.NilError(t, err)
	assert.NilError(t, log.Close())
	s, err := fleet.Restore(opened.Restored.Snapshot.Data)
	assert.NilError(t, err)
	for _, e := range opened.Restored.Entries {
		if len(e.Data) > 0 {
			apply(t, s, e.Data)
		}
	}
	assertGoldenState(t, s)
}
