package poison

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func digest(n int) Digest {
	var d Digest
	binary.BigEndian.PutUint64(d[:], uint64(n))
	return d
}

// TestBlockedContents runs sequences of endings and complete runs of one content, and guards
// against blocking too early, too late or for too long.
func TestBlockedContents(t *testing.T) {
	type step struct {
		after time.Duration
		// ended names a server that ends; before is how long before that the content was sent to
		// it. ran is set instead for a complete run of the content.
		ended  string
		before time.Duration
		ran    bool
	}
	for _, c := range []struct {
		name  string
		steps []step
		after time.Duration
		want  bool
	}{
		{name: "two servers", steps: []step{{ended: "a"}, {ended: "b"}}},
		{name: "three servers", steps: []step{{ended: "a"}, {ended: "b"}, {ended: "c"}}, want: true},
		{name: "one server, seen by three gateways", steps: []step{{ended: "a"}, {ended: "a"}, {ended: "a"}}},
		{name: "a complete run in between", steps: []step{{ended: "a"}, {ended: "b"}, {ran: true}, {ended: "c"}}},
		{name: "a complete run after the third", steps: []step{{ended: "a"}, {ended: "b"}, {ended: "c"}, {ran: true}}},
		{name: "three after a complete run", steps: []step{{ended: "a"}, {ran: true}, {ended: "b"}, {ended: "c"}, {ended: "d"}}, want: true},
		{name: "one ending every 15 minutes", steps: []step{{ended: "a"}, {after: 15 * time.Minute, ended: "b"}, {after: 15 * time.Minute, ended: "c"}}, want: true},
		{name: "a rack loses power", steps: []step{{ended: "a", before: 2 * time.Second}, {ended: "b", before: 3 * time.Second}, {ended: "c", before: 4 * time.Second}, {ended: "d", before: 5 * time.Second}}},
		{name: "another rack loses power later", steps: []step{{ended: "a", before: 2 * time.Second}, {ended: "b", before: 3 * time.Second}, {after: time.Minute, ended: "c", before: 2 * time.Second}, {ended: "d", before: 3 * time.Second}}},
		{name: "endings have expired", steps: []step{{ended: "a"}, {ended: "b"}, {after: 2 * time.Hour, ended: "c"}}},
		{name: "one attempt after the block", steps: []step{{ended: "a"}, {ended: "b"}, {ended: "c"}}, after: blockDuration},
		{name: "blocked again by another ending", steps: []step{{ended: "a"}, {ended: "b"}, {ended: "c"}, {after: blockDuration, ended: "d"}}, want: true},
	} {
		table, now := NewTable(), start
		for _, s := range c.steps {
			now = now.Add(max(s.after, time.Second))
			table.Sweep(now)
			if s.ran {
				table.Excuse(digest(1))
			} else {
				table.RecordEnding(now, digest(1), s.ended, now, max(s.before, 100*time.Millisecond))
			}
		}
		now = now.Add(c.after)
		assert.Equal(t, table.BlockedFor(now, digest(1)) > 0, c.want, c.name)
		assert.Equal(t, table.BlockedFor(now, digest(2)), time.Duration(0), c.name)
	}
}

// TestNeighboursAreNotBlocked guards against blocking requests that were running next to a poison
// request: one content ends a server at each attempt, and about ten other runs end with each
// server. Those complete when they are sent again, and must never be refused.
func TestNeighboursAreNotBlocked(t *testing.T) {
	table, now, next := NewTable(), start, 100
	poisonous, tries := digest(1), 0
	neighbours := map[Digest]bool{}
	for n := range 12 {
		now = now.Add(time.Second)
		if table.BlockedFor(now, poisonous) > 0 {
			continue
		}
		tries++
		server := fmt.Sprint("s", n)
		table.RecordEnding(now, poisonous, server, now, 0)
		for d := range neighbours { // sent again, to other servers
			table.Excuse(d)
			delete(neighbours, d)
		}
		for range 10 {
			next++
			table.RecordEnding(now, digest(next), server, now, time.Second/2)
			neighbours[digest(next)] = true
		}
		assert.Equal(t, table.BlockedCount(now), min(tries/blockThreshold, 1))
	}
	assert.Equal(t, tries, blockThreshold)
}

// TestTablesAgree guards against tables that differ after exchanging records in any order, twice,
// or through a table that has lost its contents.
func TestTablesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		cursor := map[[2]int]uint64{}
		now := start
		send := func(from, to int) {
			list, at := tables[from].Since(now, cursor[[2]int{from, to}], 1)
			cursor[[2]int{from, to}] = at
			tables[to].Merge(now, list)
			if rapid.Bool().Draw(rt, "twice") {
				tables[to].Merge(now, list)
			}
		}
		want := NewTable()
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond)
			i, d := rapid.IntRange(0, 2).Draw(rt, "table"), digest(rapid.IntRange(1, 3).Draw(rt, "content"))
			switch rapid.IntRange(0, 2).Draw(rt, "what") {
			case 0:
				ran := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ran")) * time.Millisecond
				server := fmt.Sprint("s", rapid.IntRange(1, 6).Draw(rt, "server"))
				tables[i].RecordEnding(now, d, server, now, ran)
				want.RecordEnding(now, d, server, now, ran)
			case 1:
				send(i, rapid.IntRange(0, 2).Draw(rt, "to"))
			case 2:
				// A complete run excuses all endings that this table knows.
				known, _ := tables[i].Since(now, 0, 1)
				tables[i].Excuse(d)
				for _, r := range known {
					if r.Content == d {
						for n := range r.Endings {
							r.Endings[n].Excused = true
						}
						want.Merge(now, []Record{r})
					}
				}
			}
		}
		for range 2 {
			for i := range tables {
				for j := range tables {
					send(i, j)
				}
			}
		}
		for n := 1; n <= 3; n++ {
			for i, table := range tables {
				got, wanted := table.BlockedFor(now, digest(n)) > 0, want.BlockedFor(now, digest(n)) > 0
				if got != wanted {
					rt.Fatalf("table %d, content %d: blocked %v, want %v", i, n, got, wanted)
				}
			}
		}
	})
}

// TestAgreeingTablesExchangeNothing guards against tables that keep sending each other what they
// already have.
func TestAgreeingTablesExchangeNothing(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.RecordEnding(start, digest(1), "s", start, 0)
	toB, atA := a.Since(start, 0, 1)
	b.Merge(start.Add(time.Millisecond), toB)
	toA, _ := b.Since(start.Add(time.Millisecond), 0, 1)
	a.Merge(start.Add(2*time.Millisecond), toA)
	again, _ := a.Since(start.Add(time.Second), atA, 1)
	assert.Equal(t, len(again), 0)
}

// TestTableIsBounded guards against a table without bound, and against dropping the contents with
// the most endings.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for n, s := range []string{"a", "b", "c"} {
		table.RecordEnding(start, digest(0), s, start.Add(time.Duration(n-3)*time.Second), 0)
	}
	for n := range 3 * maxContents {
		table.RecordEnding(start, digest(n+1), "x", start, 0)
		assert.Assert(t, table.Len() <= maxContents)
	}
	assert.Assert(t, table.BlockedFor(start, digest(0)) > 0)
}

// BenchmarkBlocked measures the cost per request with some thousand known contents.
func BenchmarkBlocked(b *testing.B) {
	table := NewTable()
	for n := range 5000 {
		table.RecordEnding(start, digest(n), "x", start, 0)
	}
	c := Content{Method: "POST", Host: "h", Target: "/review/1", Body: make([]byte, 5000)}
	b.ReportAllocs()
	for b.Loop() {
		table.BlockedFor(start, c.Digest())
	}
}

// TestEndingSeenAtTwoTimes guards against tables that disagree on an ending that two gateways saw
// at different times, where the time that reached a table first decided whether the ending counted.
func TestEndingSeenAtTwoTimes(t *testing.T) {
	a, b := NewTable(), NewTable()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	a.RecordEnding(at(0), digest(3), "s1", at(0), 0)
	a.RecordEnding(at(1), digest(3), "s2", at(1), 0)
	b.RecordEnding(at(2), digest(3), "s1", at(2), 0)
	a.RecordEnding(at(3), digest(3), "s6", at(3), time.Millisecond)
	toB, _ := a.Since(at(3), 0, 1)
	toA, _ := b.Since(at(3), 0, 1)
	a.Merge(at(3), toA)
	b.Merge(at(3), toB)
	assert.Equal(t, a.BlockedFor(at(3), digest(3)), b.BlockedFor(at(3), digest(3)))
	assert.Assert(t, b.BlockedFor(at(3), digest(3)) > 0)
}
