package origin

import (
	"crypto/sha256"
	"time"
)

// Retention is how long the origin of a stream is kept, and how long a version counts after the
// last server that had it: longer than callers return for the rest of a stream.
const Retention = 2 * time.Minute

// KeyBytes is the length of a Key. Two of a million attempts have the same key once in ten million
// cases.
const KeyBytes = 8

// Key identifies an attempt of a caller. It is a hash, since callers choose IDs of any length.
type Key [KeyBytes]byte

// KeyOf returns the key of an attempt, by the name of the caller's organisation and the ID that the
// caller has given the attempt.
func KeyOf(organisation, id string) Key {
	sum := sha256.Sum256([]byte(organisation + "\x00" + id))
	return Key(sum[:KeyBytes])
}

// Origin is the service and the software version at which a stream began.
type Origin struct{ Service, Version string }

// Batch holds attempts that began at the same service and version, as exchanged between tables.
type Batch struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Version string `cbor:"2,keyasint,omitempty"`
	// Ambiguous reports that the version isn't known: the attempt was recorded with several ones.
	Ambiguous bool `cbor:"3,keyasint,omitempty"`
	// Keys are the keys of the attempts, one after the other.
	Keys []byte `cbor:"4,keyasint,omitempty"`
}

// AppendKey appends a key to a list of keys.
func AppendKey(list []byte, k Key) []byte { return append(list, k[:]...) }

// SplitKeys returns the keys of a list. Bytes at the end that are no whole key are ignored.
func SplitKeys(list []byte) []Key {
	out := make([]Key, 0, len(list)/KeyBytes)
	for ; len(list) >= KeyBytes; list = list[KeyBytes:] {
		out = append(out, Key(list[:KeyBytes]))
	}
	return out
}

type entry struct {
	origin    *Origin
	ambiguous bool
	doubt     Doubt
	// number is the number of the entry's last change.
	number uint64
}

// change is a change of a table.
type change struct {
	key Key
	at  time.Time
}

// Table holds the origins of streams. It isn't safe for concurrent use.
type Table struct {
	most    int
	entries map[Key]entry
	// changes are the newest changes in order; the first has the number dropped.
	changes []change
	dropped uint64
	// origins has each origin once, since many attempts share one.
	origins map[Origin]*Origin
	// doubtful are the entries in doubt by the server in question, in the order in which they
	// came. Some may have changed since.
	doubtful map[string][]Key
}

// NewTable returns an empty table that keeps the newest most entries.
func NewTable(most int) *Table {
	return &Table{most: most, entries: map[Key]entry{}, origins: map[Origin]*Origin{}, doubtful: map[string][]Key{}}
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Add records where an attempt began, and reports whether that is new. An attempt that is recorded
// with two origins becomes ambiguous for good: IDs are chosen by callers, who may use one twice.
func (t *Table) Add(now time.Time, k Key, o Origin) bool {
	old, known := t.entries[k]
	switch {
	case known && (old.ambiguous || *old.origin == o && old.doubt.Server == ""):
		return false
	case known && *old.origin != o:
		return t.MarkAmbiguous(now, k)
	}
	t.set(now, k, entry{origin: t.intern(o)})
	return true
}

// MarkAmbiguous records that it is not known where an attempt began, and reports whether that is
// new.
func (t *Table) MarkAmbiguous(now time.Time, k Key) bool {
	old, known := t.entries[k]
	if known && old.ambiguous {
		return false
	}
	if !known {
		old.origin = t.intern(Origin{})
	}
	old.ambiguous, old.doubt = true, Doubt{}
	t.set(now, k, old)
	return true
}

func (t *Table) set(now time.Time, k Key, e entry) {
	e.number = t.Changes()
	t.entries[k] = e
	t.changes = append(t.changes, change{k, now})
	for len(t.entries) > t.most {
		t.dropFirst()
	}
}

func (t *Table) intern(o Origin) *Origin {
	shared := t.origins[o]
	if shared == nil {
		shared = &o
		t.origins[o] = shared
	}
	return shared
}

// dropFirst removes the oldest change, and its entry unless that has changed since.
func (t *Table) dropFirst() {
	k := t.changes[0].key
	if t.entries[k].number == t.dropped {
		delete(t.entries, k)
	}
	t.changes = t.changes[1:]
	t.dropped++
}

// Changes returns the number of changes so far.
func (t *Table) Changes() uint64 { return t.dropped + uint64(len(t.changes)) }

// Find returns the origin of an attempt, and whether it is recorded. One that is ambiguous or in
// doubt is recorded, but not known.
func (t *Table) Find(k Key) (o Origin, known, recorded bool) {
	e, recorded := t.entries[k]
	if !recorded || e.ambiguous || e.doubt.Server != "" {
		return Origin{}, false, recorded
	}
	return *e.origin, true, true
}

// Since returns what has changed after the given number of changes, at most most entries, and the
// number of changes up to which that is complete.
func (t *Table) Since(now time.Time, number uint64, most int) (Records, uint64) {
	out := batches{now: now}
	number = max(number, t.dropped)
	for n := 0; number < t.Changes() && n < most; number++ {
		k := t.changes[number-t.dropped].key
		e, known := t.entries[k]
		if !known || e.number != number {
			continue // changed again since
		}
		n++
		out.add(k, e)
	}
	return out.records, number
}

// batches collects entries in batches of the same origin.
type batches struct {
	now     time.Time
	records Records
	// index has the positions of the batches in their lists.
	index map[batchOrigin]int
}

type batchOrigin struct {
	origin    Origin
	ambiguous bool
	server    string
}

func (b *batches) add(k Key, e entry) {
	at := batchOrigin{*e.origin, e.ambiguous, e.doubt.Server}
	i, ok := b.index[at]
	if !ok && b.index == nil {
		b.index = map[batchOrigin]int{}
	}
	r := &b.records
	if at.server == "" {
		if !ok {
			i = len(r.Certain)
			r.Certain = append(r.Certain, Batch{Service: e.origin.Service, Version: e.origin.Version, Ambiguous: e.ambiguous})
		}
		r.Certain[i].Keys = AppendKey(r.Certain[i].Keys, k)
	} else {
		age := max(b.now.Sub(e.doubt.Begun), 0)
		if !ok {
			i = len(r.Doubtful)
			r.Doubtful = append(r.Doubtful, DoubtfulBatch{Service: e.origin.Service, Version: e.origin.Version, Server: at.server, Age: age})
		}
		r.Doubtful[i].Age = min(r.Doubtful[i].Age, age) // the newest needs the newest report
		r.Doubtful[i].Keys = AppendKey(r.Doubtful[i].Keys, k)
	}
	b.index[at] = i
}

// Merge records the origins of another table, and returns the keys that are new.
func (t *Table) Merge(now time.Time, records Records) []Key {
	var out []Key
	for i := range records.Doubtful {
		b := &records.Doubtful[i]
		doubt := Doubt{b.Server, now.Add(-min(max(b.Age, 0), Retention))}
		for _, k := range SplitKeys(b.Keys) {
			if b.Server != "" && t.AddDoubtful(now, k, Origin{b.Service, b.Version}, doubt) {
				out = append(out, k)
			}
		}
	}
	for i := range records.Certain {
		b := &records.Certain[i]
		for _, k := range SplitKeys(b.Keys) {
			if b.Ambiguous && t.MarkAmbiguous(now, k) || !b.Ambiguous && t.Add(now, k, Origin{b.Service, b.Version}) {
				out = append(out, k)
			}
		}
	}
	return out
}

// Batch returns the entries of some attempts, and the keys of those that are not recorded.
func (t *Table) Batch(now time.Time, keys []Key) (found Records, unknown []byte) {
	out := batches{now: now}
	for _, k := range keys {
		if e, recorded := t.entries[k]; recorded {
			out.add(k, e)
		} else {
			unknown = AppendKey(unknown, k)
		}
	}
	return out.records, unknown
}

// Sweep removes the entries that are older than Retention.
func (t *Table) Sweep(now time.Time) {
	for len(t.changes) > 0 && now.Sub(t.changes[0].at) > Retention {
		t.dropFirst()
	}
	if len(t.entries) == 0 {
		clear(t.origins)
	}
	for server := range t.doubtful {
		t.inDoubt(server)
	}
}
