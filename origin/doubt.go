package origin

import (
	"slices"
	"time"
)

// A server may restart under its name and address with another version, and neither requests nor
// answers tell the incarnation that serves them. Until the incarnation in a record has been heard from
// after the stream began, the stream may have begun at its successor.

// Doubt is what the record of an attempt depends on; zero if the record is certain.
type Doubt struct {
	// Server is the incarnation that the record takes for the one that began the stream.
	Server string
	// Begun is when the stream began there.
	Begun time.Time
}

// maxReportDelay is the longest time that a report of a server takes to arrive. One that arrives
// later may be taken for a newer one; the next reports of the server's successor show that.
const maxReportDelay = 500 * time.Millisecond

// SettledBy reports whether a report of the server that arrived at a time proves that the server still
// ran after the stream began.
func (d Doubt) SettledBy(reported time.Time) bool {
	return d.Server == "" || reported.Sub(d.Begun) > maxReportDelay
}

// Records are entries of a table, as exchanged between tables.
type Records struct {
	Certain  []Batch
	Doubtful []DoubtfulBatch
}

// Empty reports whether there are no entries.
func (r *Records) Empty() bool { return len(r.Certain)+len(r.Doubtful) == 0 }

// Append adds the entries of other records.
func (r *Records) Append(other Records) {
	r.Certain = append(r.Certain, other.Certain...)
	r.Doubtful = append(r.Doubtful, other.Doubtful...)
}

// DoubtfulBatch holds attempts that began at the same server, according to what its reports said
// before; see Doubt.
type DoubtfulBatch struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Version string `cbor:"2,keyasint,omitempty"`
	Server  string `cbor:"3,keyasint,omitempty"`
	// Age is the time since the newest of them began.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Keys are the keys of the attempts, one after the other.
	Keys []byte `cbor:"5,keyasint,omitempty"`
}

// AddDoubtful records where an attempt seems to have begun, and reports whether that is new. A certain
// record of the same origin stays certain.
func (t *Table) AddDoubtful(now time.Time, k Key, o Origin, d Doubt) bool {
	old, known := t.entries[k]
	switch {
	case known && (old.ambiguous || *old.origin == o && old.doubt.Server == ""):
		return false
	case known && *old.origin != o:
		return t.MarkAmbiguous(now, k)
	case known && !d.Begun.After(old.doubt.Begun):
		return false
	}
	t.set(now, k, entry{origin: t.intern(o), doubt: d})
	t.doubtful[d.Server] = append(t.doubtful[d.Server], k)
	return true
}

// FindDoubtful returns the origin of an attempt that is in doubt, and the doubt.
func (t *Table) FindDoubtful(k Key) (o Origin, d Doubt, ok bool) {
	e, ok := t.entries[k]
	if !ok || e.doubt.Server == "" {
		return Origin{}, Doubt{}, false
	}
	return *e.origin, e.doubt, true
}

// DoubtfulServers returns the servers that records are in doubt about.
func (t *Table) DoubtfulServers() []string {
	out := make([]string, 0, len(t.doubtful))
	for server := range t.doubtful {
		if len(t.inDoubt(server)) > 0 {
			out = append(out, server)
		}
	}
	return out
}

// Settle makes certain what is in doubt about a server, as far as settled allows.
func (t *Table) Settle(now time.Time, server string, settled func(Doubt) bool) {
	for _, k := range t.inDoubt(server) {
		if e := t.entries[k]; settled(e.doubt) {
			t.Add(now, k, *e.origin)
		}
	}
	t.inDoubt(server)
}

// MarkDoubtfulAmbiguous makes ambiguous what is in doubt about a server.
func (t *Table) MarkDoubtfulAmbiguous(now time.Time, server string) {
	for _, k := range t.inDoubt(server) {
		t.MarkAmbiguous(now, k)
	}
	delete(t.doubtful, server)
}

// inDoubt returns the keys that are in doubt about a server, and forgets the others. The result is
// valid until the next change.
func (t *Table) inDoubt(server string) []Key {
	list := slices.DeleteFunc(t.doubtful[server], func(k Key) bool { return t.entries[k].doubt.Server != server })
	if t.doubtful[server] = list; len(list) == 0 {
		delete(t.doubtful, server)
	}
	return list
}
