package membudget

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// check asserts that the sums of a ledger match its entries and are within the limits.
func check(t assert.TestingT, l *ledger, entries []*entry) {
	var all, shared int64
	byOrganisation := map[string]int64{}
	for _, e := range entries {
		all += e.held
		assert.Assert(t, e.held >= 0 && e.held <= l.limits.Request, "a request holds %d", e.held)
		if e == l.reserveHolder {
			continue
		}
		shared += e.held
		if e.organisation != "" && e.held > 0 {
			byOrganisation[e.organisation] += e.held
		}
	}
	assert.Equal(t, l.total(), all)
	assert.Equal(t, l.shared, shared)
	assert.DeepEqual(t, l.organisations, byOrganisation)
	assert.Assert(t, all <= l.limits.Total, "%d of %d bytes are held", all, l.limits.Total)
	for name, n := range byOrganisation {
		assert.Assert(t, n <= l.limits.Organisation, "%s holds %d", name, n)
	}
	if len(l.waiting) > 0 {
		assert.Assert(t, l.reserveHolder != nil, "requests wait, but the reserve is unused")
		assert.Assert(t, !slices.Contains(l.waiting, l.reserveHolder), "the holder of the reserve waits")
	}
}

// TestLimitsAreNeverExceeded guards against exceeded limits, and against all requests waiting, for
// any sequence of reservations, releases and cancelled waits.
func TestLimitsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newLedger(Limits{Total: rapid.Int64Range(2, 200).Draw(rt, "total"), Organisation: rapid.Int64Range(1, 200).Draw(rt, "organisation"), Request: rapid.Int64Range(1, 200).Draw(rt, "request")})
		entries := make([]*entry, rapid.IntRange(1, 8).Draw(rt, "requests"))
		for i := range entries {
			entries[i] = &entry{organisation: rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "of organisation")}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			e := rapid.SampledFrom(entries).Draw(rt, "request")
			n := rapid.Int64Range(1, 60).Draw(rt, "bytes")
			switch waits := slices.Contains(l.waiting, e); {
			case rapid.IntRange(0, 7).Draw(rt, "ends") == 0:
				l.close(e)
			case waits:
				l.dequeue(e)
			case rapid.Bool().Draw(rt, "releases"):
				l.release(e, min(n, e.held))
			case !l.exceedsRequestLimit(e, n) && !l.reserve(e, n):
				l.enqueue(e, n)
			}
			check(rt, l, entries)
		}
	})
}

// TestPartialReservationsDoNotDeadlock guards against requests that hold a part of their answers
// and wait for each other for ever, which happens without a reserve.
func TestPartialReservationsDoNotDeadlock(t *testing.T) {
	for _, organisation := range []string{"", "a"} {
		const part, parts, requests = 10, 6, 40
		l := newLedger(Limits{Total: 3 * part * parts, Organisation: part * parts, Request: part * parts})
		var entries []*entry
		reading := map[*entry]int{}
		for range requests {
			e := &entry{organisation: organisation}
			entries = append(entries, e)
			reading[e] = 0
		}
		for round := 0; len(reading) > 0; round++ {
			assert.Assert(t, round < requests*parts, "%d requests never end", len(reading))
			for _, e := range entries {
				got, open := reading[e]
				switch {
				case !open || slices.Contains(l.waiting, e):
				case e.held == part*parts:
					delete(reading, e)
					l.close(e)
				default:
					reading[e] = got + 1
					if !l.reserve(e, part) {
						l.enqueue(e, part)
					}
				}
				check(t, l, entries)
			}
		}
	}
}

// TestSlowestReaderIsPreempted guards against preempting a request other than the one whose caller
// has been reading longest, and against preempting one of another organisation where that would
// free no memory for the waiter.
func TestSlowestReaderIsPreempted(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int, organisation string, held int64) *entry {
		return &entry{organisation: organisation, held: held, writingSince: start.Add(time.Duration(s) * time.Second)}
	}
	reading := []*entry{at(3, "a", 5), at(1, "b", 5), at(0, "a", 0), {organisation: "a", held: 5}}
	for _, c := range []struct {
		shared int64
		after  time.Duration
		want   *entry
	}{
		{60, 9 * time.Second, reading[1]}, // the total is exhausted
		{10, 9 * time.Second, reading[0]}, // the organisation's limit is
		{60, 4 * time.Second, nil},
	} {
		t.Run(fmt.Sprint(c.shared, c.after), func(t *testing.T) {
			l := newLedger(Limits{Total: 100, Organisation: 30, Request: 40})
			l.shared = c.shared
			got := l.slowest(&entry{organisation: "a", wanted: 10}, reading, start.Add(c.after), 5*time.Second)
			assert.Assert(t, got == c.want, "%+v", got)
		})
	}
}

// TestNoLimitsNoWaiting guards against requests that wait without limits.
func TestNoLimitsNoWaiting(t *testing.T) {
	l := newLedger(Limits{})
	for range 10 {
		assert.Assert(t, l.reserve(&entry{organisation: "a"}, 1<<40))
	}
}
