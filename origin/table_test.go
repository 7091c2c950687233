package origin_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/origin"
)

var start = time.Unix(1_000_000, 0)

// TestTablesAgreeOnOrigins guards against an origin that differs between tables: whatever the order
// in which records arrive, and however often, a table knows one version of an attempt or none.
func TestTablesAgreeOnOrigins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type record struct {
			id string
			at origin.Origin
		}
		recorded := map[string]map[origin.Origin]bool{}
		var tables [3]*origin.Table
		var sent [3]uint64
		for i := range tables {
			tables[i] = origin.NewTable(100)
		}
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) record {
			return record{
				fmt.Sprint("q", rapid.IntRange(0, 9).Draw(t, "id")),
				origin.Origin{Service: "s", Version: fmt.Sprint("v", rapid.IntRange(1, 2).Draw(t, "version"))},
			}
		}), 1, 30).Draw(t, "records")
		for _, r := range records {
			if recorded[r.id] == nil {
				recorded[r.id] = map[origin.Origin]bool{}
			}
			recorded[r.id][r.at] = true
			n := rapid.IntRange(0, 2).Draw(t, "table")
			tables[n].Add(start, origin.KeyOf("", r.id), r.at)
			if rapid.Bool().Draw(t, "restart") {
				sent[n] = 0
			}
			list, number := tables[n].Since(start, sent[n], rapid.IntRange(1, 5).Draw(t, "most"))
			sent[n] = number
			tables[(n+1)%3].Merge(start, list)
		}
		for range 2 {
			for n, from := range tables {
				list, _ := from.Since(start, 0, 1000)
				tables[(n+1)%3].Merge(start, list)
				tables[(n+2)%3].Merge(start, list)
			}
		}
		for id, set := range recorded {
			for n, table := range tables {
				at, known, found := table.Find(origin.KeyOf("", id))
				assert.Assert(t, found, "table %d does not know %s", n, id)
				assert.Equal(t, known, len(set) == 1, "table %d, %s", n, id)
				assert.Assert(t, !known || set[at], "table %d has %v for %s", n, at, id)
			}
		}
	})
}

// TestTableIsBounded guards against memory that grows with the number or the length of IDs, and
// against records that are forgotten too early.
func TestTableIsBounded(t *testing.T) {
	table := origin.NewTable(10)
	at := origin.Origin{Service: "s", Version: strings.Repeat("v", 200)}
	for n := range 100 {
		table.Add(start.Add(time.Duration(n)*time.Second), origin.KeyOf("", strings.Repeat(fmt.Sprint(n), 10_000)), at)
	}
	assert.Equal(t, table.Len(), 10)
	_, known, _ := table.Find(origin.KeyOf("", strings.Repeat("99", 10_000)))
	assert.Assert(t, known)
	now := start.Add(95*time.Second + origin.Retention)
	table.Sweep(now)
	assert.Equal(t, table.Len(), 5)
	table.Sweep(now.Add(time.Hour))
	assert.Equal(t, table.Len(), 0)
	list, number := table.Since(now, 0, 100)
	assert.Assert(t, list.Empty())
	assert.Equal(t, number, uint64(100))
}

// TestKeysDistinguishCallers guards against an attempt of one organisation that is taken for that
// of another with the same ID.
func TestKeysDistinguishCallers(t *testing.T) {
	assert.Assert(t, origin.KeyOf("a", "q") != origin.KeyOf("b", "q"))
	assert.Assert(t, origin.KeyOf("a", "bq") != origin.KeyOf("ab", "q"))
	keys := origin.SplitKeys(append(origin.AppendKey(nil, origin.KeyOf("", "q")), 1, 2, 3))
	assert.DeepEqual(t, keys, []origin.Key{origin.KeyOf("", "q")})
}

// TestVersionCountsAfterItsLastServer guards against a version that is taken for the only one
// although streams that another one began may still be resumed.
func TestVersionCountsAfterItsLastServer(t *testing.T) {
	var v, peer origin.Versions
	assert.Assert(t, v.Note(start, "s", "v1") && !v.Note(start, "s", ""))
	sole, ok := v.Sole("s")
	assert.Assert(t, ok && sole == "v1" && len(v.List(start)) == 0)
	assert.Assert(t, v.Note(start.Add(time.Second), "s", "v2"))
	assert.Assert(t, peer.Merge(start, v.List(start.Add(time.Second))) && peer.Mixed("s"))
	v.Note(start.Add(time.Minute), "s", "v2")
	assert.Equal(t, len(v.Sweep(start.Add(origin.Retention))), 0)
	assert.Assert(t, v.Mixed("s"))
	assert.DeepEqual(t, v.Sweep(start.Add(origin.Retention+time.Second)), []string{"s"})
	sole, ok = v.Sole("s")
	assert.Assert(t, ok && sole == "v2")
	for n := range 1000 {
		v.Note(start.Add(time.Minute), "s", fmt.Sprint(n))
	}
	assert.Assert(t, len(v.Of("s")) <= 64 && v.Mixed("s"))
	assert.Assert(t, !peer.Merge(start, []origin.SeenVersion{{Service: "s", Version: "v9", Age: -time.Hour}, {Service: "s", Version: "v8", Age: time.Hour}}))
}
