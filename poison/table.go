package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits of a table.
const (
	// blockThreshold is the number of servers that must have ended one after the other while
	// running a content. A complete run excuses the content, so a third ending without one is
	// hardly chance; waiting for a fourth would cost another server and all of its runs.
	blockThreshold = 3
	// blockDuration is how long a content is refused after the last ending, endingTTL how long an
	// ending is kept: a caller that returns after blockDuration gets one attempt, and is refused
	// again if that ends another server.
	blockDuration = 10 * time.Minute
	endingTTL     = time.Hour
	// maxContents bounds the contents of a table: enough for an availability zone of 200 servers
	// with 50 runs each that loses power. It takes about 3 MB.
	maxContents = 10_000
	// maxParts bounds the sum of the parts of all contents. It takes about 5 MB.
	maxParts = 50_000
)

// Ending is the ending of one server while it ran a content.
type Ending struct {
	// Server identifies the incarnation of the server, so that an ending seen by two gateways
	// counts once.
	Server string `cbor:"1,keyasint"`
	// Age is the time since the ending.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
	// Excused reports whether the content has completed since.
	Excused bool `cbor:"3,keyasint,omitempty"`
	// Ran is how long before the ending the content had been sent to the server.
	Ran time.Duration `cbor:"4,keyasint,omitempty"`
	// Underway reports that the run had been generating its answer for some time, so that the parts
	// of its prompt are not suspected.
	Underway bool `cbor:"5,keyasint,omitempty"`
	// Name is the name of the server, the same for all its incarnations; empty if the reporter does
	// not tell it.
	Name string `cbor:"6,keyasint,omitempty"`
}

// Record holds the endings of one content, as exchanged between tables.
type Record struct {
	Content Digest   `cbor:"1,keyasint"`
	Endings []Ending `cbor:"2,keyasint"`
	// Parts are the parts of its prompt that other prompts may have too; none if they are not
	// suspected.
	Parts []Digest `cbor:"3,keyasint,omitempty"`
}

// ending is an Ending with absolute times.
type ending struct {
	sent, at          time.Time
	excused, underway bool
	// name is the name of the server; empty if it is not known.
	name string
}

type entry struct {
	endings map[string]ending
	// parts are sorted.
	parts []Digest
	// change is the number of the table's last change of this entry.
	change uint64
}

// Table holds the contents that were running when servers ended. It isn't safe for concurrent use.
type Table struct {
	contents map[Digest]*entry
	// parts are the parts of the contents, and partCount the sum of the parts of each content.
	// relevantCount is the number of relevant parts.
	parts                    map[Digest]*part
	partCount, relevantCount int
	// blocks are the blocked parts, and explained the part by which each server ended. Both follow
	// from the rest; judged is set if they are up to date.
	blocks    map[Digest]*Block
	explained map[string]Digest
	judged    bool
	// changes is the number of changes so far, so that peers get only what is new.
	changes uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{contents: map[Digest]*entry{}, parts: map[Digest]*part{}}
}

// Len returns the number of contents in the table.
func (t *Table) Len() int { return len(t.contents) }

// Changes returns the number of the last change.
func (t *Table) Changes() uint64 { return t.changes }

// RecordEnding records that a server ended at a time, ran after the content had been sent to it. It
// reports whether the content is blocked by this ending.
func (t *Table) RecordEnding(now time.Time, d Digest, server string, at time.Time, ran time.Duration) bool {
	return len(t.Merge(now, []Record{{Content: d, Endings: []Ending{{Server: server, Age: now.Sub(at), Ran: ran}}}})) > 0
}

// Excuse records that a content has completed on a server that is still running, which excuses it
// from all endings known so far.
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
	t.judged = false
}

// Merge adds the records of another table and returns the contents that are blocked by them.
func (t *Table) Merge(now time.Time, list []Record) []Digest {
	var blocked []Digest
	touched := map[Digest]bool{}
	for _, r := range list {
		e := t.contents[r.Content]
		if e == nil {
			e = &entry{endings: map[string]ending{}}
		}
		before := t.blockedFor(now, e) > 0
		changed := e.merge(now, r.Endings)
		if len(e.endings) > 0 && t.addParts(r.Content, e, r.Parts) {
			changed = true
		}
		if changed {
			t.contents[r.Content] = e
			t.markChanged(e)
		}
		for _, p := range e.parts {
			touched[p] = true
		}
		if !before && t.blockedFor(now, e) > 0 {
			blocked = append(blocked, r.Content)
		}
	}
	t.updateRelevance(touched)
	for len(t.contents) > maxContents || t.partCount > maxParts {
		t.shrink()
	}
	return blocked
}

// merge adds endings and reports whether any of them was new. Several gateways may see the same
// server end at different times: the earliest counts, so that all tables reach the same result, and
// a delay on the way between two tables changes nothing.
func (e *entry) merge(now time.Time, list []Ending) bool {
	changed := false
	for _, x := range list {
		if x.Age >= endingTTL {
			continue
		}
		old, known := e.endings[x.Server]
		at := now.Add(-x.Age)
		merged := ending{sent: at.Add(-x.Ran), at: at, excused: x.Excused, underway: x.Underway, name: x.Name}
		if known {
			merged = ending{sent: earliest(old.sent, merged.sent), at: earliest(old.at, at), excused: old.excused || x.Excused, underway: old.underway && x.Underway, name: cmp.Or(old.name, x.Name)}
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

// BlockedFor returns for how long a content will still be refused; zero if it isn't.
func (t *Table) BlockedFor(now time.Time, d Digest) time.Duration {
	e := t.contents[d]
	if e == nil {
		return 0
	}
	return t.blockedFor(now, e)
}

// BlockedCount returns how many contents are refused now.
func (t *Table) BlockedCount(now time.Time) int {
	n := 0
	for _, e := range t.contents {
		if t.blockedFor(now, e) > 0 {
			n++
		}
	}
	return n
}

// blockedFor counts the servers that ended one after the other. Runs that overlapped count as one
// ending: when a rack loses power, a content that many callers had sent at that moment ends with
// several servers at once. Servers that ended because of a part which the content doesn't have don't
// count.
func (t *Table) blockedFor(now time.Time, e *entry) time.Duration {
	if len(e.endings) < blockThreshold {
		return 0
	}
	t.judge()
	list := make([]ending, 0, len(e.endings))
	for server, x := range e.endings {
		cause, explained := t.explained[server]
		if !x.excused && (!explained || e.has(cause)) {
			list = append(list, x)
		}
	}
	n, newest := successive(list)
	if n < blockThreshold {
		return 0
	}
	return max(newest.Add(blockDuration).Sub(now), 0)
}

// successive counts the endings that came one after the other, each of a run that was sent after the
// previous counted ending. It sorts the list, and returns the time of the last counted ending too.
func successive(list []ending) (n int, newest time.Time) {
	slices.SortFunc(list, func(a, b ending) int { return cmp.Or(a.at.Compare(b.at), a.sent.Compare(b.sent)) })
	for _, x := range list {
		if x.sent.After(newest) {
			n, newest = n+1, x.at
		}
	}
	return n, newest
}

// Since returns the records that have changed after change, of contents with at least minEndings
// endings or a part with several, and the number of the last change that they cover.
func (t *Table) Since(now time.Time, change uint64, minEndings int) ([]Record, uint64) {
	if change == t.changes {
		return nil, change
	}
	var out []Record
	for d, e := range t.contents {
		if e.change <= change || len(e.endings) < minEndings && !slices.ContainsFunc(e.parts, t.relevant) {
			continue
		}
		r := Record{Content: d, Parts: e.parts}
		for _, server := range slices.Sorted(maps.Keys(e.endings)) {
			x := e.endings[server]
			r.Endings = append(r.Endings, Ending{Server: server, Age: now.Sub(x.at), Ran: x.at.Sub(x.sent), Excused: x.excused, Underway: x.underway, Name: x.name})
		}
		out = append(out, r)
	}
	return out, t.changes
}

// WithoutParts returns the records for a peer that does not track parts.
func WithoutParts(list []Record) []Record {
	out := make([]Record, 0, len(list))
	for _, r := range list {
		r.Parts, r.Endings = nil, slices.Clone(r.Endings)
		for n := range r.Endings {
			r.Endings[n].Underway, r.Endings[n].Name = false, ""
		}
		out = append(out, r)
	}
	return out
}

// Sweep removes expired endings and survivals.
func (t *Table) Sweep(now time.Time) {
	for d, e := range t.contents {
		before := len(e.endings)
		maps.DeleteFunc(e.endings, func(_ string, x ending) bool { return now.Sub(x.at) >= endingTTL })
		if len(e.endings) < before {
			t.judged = false
		}
		if len(e.endings) == 0 {
			t.remove(d)
		}
	}
	t.sweepParts(now)
}

// remove removes a content.
func (t *Table) remove(d Digest) {
	t.removeParts(d, t.contents[d])
	delete(t.contents, d)
}

// shrink removes a quarter of the contents: those with the fewest endings, and among these the
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
	for _, d := range list[:(len(list)+3)/4] {
		t.remove(d)
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
