package poison

import (
	"maps"
	"slices"
	"time"
)

// Bounds of what is kept.
const (
	// blockAt is the number of servers that must have ended under a content, one after the
	// other. A whole run
	// excuses a content, so a third ending without one is hardly chance; one more would
	// cost a server and all that it runs.
	blockThreshold = 3
	// blockFor is how long a content is refused after the newest ending, keepFor how long
	// an ending is remembered: whoever comes back later than the first is tried once, and
	// refused again if that ends one more server.
	blockDuration = 10 * time.Minute
	endingTTL     = time.Hour
	// mostContents bounds the contents of a table: a zone of 200 servers with 50 runs each
	// that loses power. It takes some 3 MB.
	maxContents = 10_000
)

// Ending is one server that has ended under a content.
type Ending struct {
	// Server names the start of the server, so that two gateways that saw the same one
	// end count one.
	Server string `cbor:"1,keyasint"`
	// Age is how long ago it was.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
	// Excused tells that the content has run to its end since.
	Excused bool `cbor:"3,keyasint,omitempty"`
	// Ran is how long before that the content had been sent to the server.
	Ran time.Duration `cbor:"4,keyasint,omitempty"`
}

// Record is what is known of a content, as tables tell each other.
type Record struct {
	Content Digest   `cbor:"1,keyasint"`
	Endings []Ending `cbor:"2,keyasint"`
}

// ending is one Ending with its time.
type ending struct {
	sent, at time.Time
	excused  bool
}

type entry struct {
	endings map[string]ending
	// change is the number of the table's change that changed it last.
	change uint64
}

// Table keeps the contents under which servers have ended. It is not safe for concurrent
// use.
type Table struct {
	contents map[Digest]*entry
	// changes counts what has changed, so that a peer is told only what is new.
	changes uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{contents: map[Digest]*entry{}} }

// Len returns the number of contents that are known.
func (t *Table) Len() int { return len(t.contents) }

// Changes is the number of the newest change.
func (t *Table) Changes() uint64 { return t.changes }

// RecordEnding notes that a server ended at a time while it ran a content, which had been sent to
// it for a while. It returns whether the content is blocked by that.
func (t *Table) RecordEnding(now time.Time, d Digest, server string, at time.Time, ran time.Duration) bool {
	return len(t.Merge(now, []Record{{Content: d, Endings: []Ending{{Server: server, Age: now.Sub(at), Ran: ran}}}})) > 0
}

// Excuse notes that a content has run to its end at a server that is there, which excuses it
// from the endings known so far.
func (t *Table) Excuse(d Digest) {
	e := t.contents[d]
	if e == nil {
		return
	}
	for server, x := range e.endings {
		if !x.excused {
			x.excused = true
			e.endings[server] = x
			t.markChanged(e)
		}
	}
}

func (t *Table) markChanged(e *entry) {
	t.changes++
	e.change = t.changes
}

// Merge takes what another table tells and returns the contents that are blocked by that.
func (t *Table) Merge(now time.Time, list []Record) []Digest {
	var blocked []Digest
	for _, r := range list {
		e := t.contents[r.Content]
		if e == nil {
			e = &entry{endings: map[string]ending{}}
		}
		before := e.blockedFor(now) > 0
		if e.merge(now, r.Endings) {
			t.contents[r.Content] = e
			t.markChanged(e)
		}
		if !before && e.blockedFor(now) > 0 {
			blocked = append(blocked, r.Content)
		}
	}
	if len(t.contents) > maxContents {
		t.shrink()
	}
	return blocked
}

// merge adds endings that are news and tells whether there were any. Several gateways may see
// one server end, at times that differ: the earliest of each counts, so that all tables come
// to the same, and what a way between two of them adds changes nothing.
func (e *entry) merge(now time.Time, list []Ending) bool {
	changed := false
	for _, x := range list {
		if x.Age >= endingTTL {
			continue
		}
		old, known := e.endings[x.Server]
		at := now.Add(-x.Age)
		merged := ending{sent: at.Add(-x.Ran), at: at, excused: x.Excused}
		if known {
			merged = ending{sent: earliest(old.sent, merged.sent), at: earliest(old.at, at), excused: old.excused || x.Excused}
		}
		if merged != old || !known {
			e.endings[x.Server] = merged
			changed = true
		}
	}
	return changed
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// BlockedFor returns for how long a content is still refused; zero if it is not.
func (t *Table) BlockedFor(now time.Time, d Digest) time.Duration {
	e := t.contents[d]
	if e == nil {
		return 0
	}
	return e.blockedFor(now)
}

// BlockedCount returns how many contents are refused now.
func (t *Table) BlockedCount(now time.Time) int {
	n := 0
	for _, e := range t.contents {
		if e.blockedFor(now) > 0 {
			n++
		}
	}
	return n
}

// blockedFor counts the servers that ended one after the other. Of runs that were under way
// together one ending counts: when a rack loses its power, all that many callers ask at that
// moment ends with several servers at once.
func (e *entry) blockedFor(now time.Time) time.Duration {
	if len(e.endings) < blockThreshold {
		return 0
	}
	list := make([]ending, 0, len(e.endings))
	for _, x := range e.endings {
		if !x.excused {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b ending) int { return a.at.Compare(b.at) })
	n, newest := 0, time.Time{}
	for _, x := range list {
		if x.sent.After(newest) {
			n, newest = n+1, x.at
		}
	}
	if n < blockThreshold {
		return 0
	}
	return max(newest.Add(blockDuration).Sub(now), 0)
}

// Since returns what has changed after a number of changes, of contents with at least a
// number of endings, and the number of changes that this covers.
func (t *Table) Since(now time.Time, change uint64, minEndings int) ([]Record, uint64) {
	if change == t.changes {
		return nil, change
	}
	var out []Record
	for d, e := range t.contents {
		if e.change <= change || len(e.endings) < minEndings {
			continue
		}
		r := Record{Content: d}
		for _, server := range slices.Sorted(maps.Keys(e.endings)) {
			x := e.endings[server]
			r.Endings = append(r.Endings, Ending{Server: server, Age: now.Sub(x.at), Ran: x.at.Sub(x.sent), Excused: x.excused})
		}
		out = append(out, r)
	}
	return out, t.changes
}

// Sweep forgets what is too old to count.
func (t *Table) Sweep(now time.Time) {
	for d, e := range t.contents {
		maps.DeleteFunc(e.endings, func(_ string, x ending) bool { return now.Sub(x.at) >= endingTTL })
		if len(e.endings) == 0 {
			delete(t.contents, d)
		}
	}
}

// shrink forgets a quarter of the contents: those with the fewest endings, of these the
// oldest.
func (t *Table) shrink() {
	list := slices.Collect(maps.Keys(t.contents))
	slices.SortFunc(list, func(a, b Digest) int {
		x, y := t.contents[a], t.contents[b]
		if n := len(x.endings) - len(y.endings); n != 0 {
			return n
		}
		return x.newestEnding().Compare(y.newestEnding())
	})
	for _, d := range list[:len(list)/4] {
		delete(t.contents, d)
	}
}

func (e *entry) newestEnding() time.Time {
	var out time.Time
	for _, x := range e.endings {
		if x.at.After(out) {
			out = x.at
		}
	}
	return out
}
