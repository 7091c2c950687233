package fleet_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/route"
)

// withField returns an encoded map with one more field.
func withField(t testing.TB, data []byte, field int, value any) []byte {
	t.Helper()
	var m map[int]cbor.RawMessage
	assert.NilError(t, cbor.Unmarshal(data, &m))
	raw, err := cbor.Marshal(value)
	assert.NilError(t, err)
	m[field] = raw
	out, err := cbor.Marshal(m)
	assert.NilError(t, err)
	return out
}

// TestCommandWithUnknownFieldIsRejected guards against applying a command of a newer build only
// in part: a replica that ignored an unknown field would diverge from the others.
func TestCommandWithUnknownFieldIsRejected(t *testing.T) {
	good := changeCommand(t, "b", 1, settingsText(1), settingsText(2))
	table := map[int]any{1: "t", 9: map[int]any{1: 5, 2: []any{}, 3: []any{}, 4: map[int]any{}, 99: "x"}}
	unknownTableField, err := cbor.Marshal(table)
	assert.NilError(t, err)
	for name, data := range map[string][]byte{
		"a field of the command": withField(t, good, 99, "x"),
		"a field of the delta":   withField(t, good, 3, map[int]any{2: 1, 99: "x"}),
		"a field of a table":     unknownTableField,
		"no command":             []byte("\xff"),
	} {
		t.Run(name, func(t *testing.T) {
			s := fleet.New()
			apply(t, s, changeCommand(t, "a", 0, nil, settingsText(1)))
			before, err := s.Snapshot()
			assert.NilError(t, err)
			_, err = s.Apply(data)
			assert.Assert(t, err != nil, "a command that can't be decoded was applied")
			after, err := s.Snapshot()
			assert.NilError(t, err)
			assert.DeepEqual(t, after, before)
		})
	}
}

func TestSnapshotWithUnknownFieldIsRejected(t *testing.T) {
	s := fleet.New()
	apply(t, s, changeCommand(t, "a", 0, nil, settingsText(1)))
	data, err := s.Snapshot()
	assert.NilError(t, err)
	for name, data := range map[string][]byte{
		"a field of the snapshot": withField(t, data, 99, "x"),
		"a field of a result":     withField(t, data, 3, []any{map[int]any{1: "a", 99: "x"}}),
		"a field of the history":  withField(t, data, 4, []any{map[string]any{"revision": 1, "newer": "x"}}),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := fleet.Restore(data)
			assert.Assert(t, err != nil, "a snapshot that can't be decoded was restored")
		})
	}
}

func BenchmarkApply(b *testing.B) {
	s := fleet.New()
	from, to := settingsText(1), settingsText(2)
	apply(b, s, changeCommand(b, "0", 0, nil, from))
	data := changeCommand(b, "again", 0, from, to) // on an old revision, so the state stays as it is
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Apply(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApplyTable(b *testing.B) {
	data, err := fleet.Encode(fleet.Change{ID: "t", Table: largeTable(300)})
	assert.NilError(b, err)
	s := fleet.New()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Apply(data); err != nil {
			b.Fatal(err)
		}
	}
}

// largeTable returns a table with n organisations.
func largeTable(n int) *route.Table {
	t := &route.Table{Version: 1, Source: make([]byte, 1000)}
	for i := range n {
		name := fmt.Sprint("organisation-", i)
		t.Organisations = append(t.Organisations, route.Organisation{Name: name, Keys: []route.KeyDigest{route.DigestOf(name)}, Unit: route.Tokens, Rate: 5})
	}
	return t
}
