package membudget

import (
	"slices"
	"time"
)

// Limits bounds the bytes held. Zero means no limit.
type Limits struct {
	// Total limits the bytes of all requests, Organisation those of the requests of one
	// organisation, and Request those of one request.
	Total, Organisation, Request int64
}

// normalized returns limits whose reserve for one request is at most half of the total.
func (l Limits) normalized() Limits {
	if l.Total <= 0 {
		return Limits{Request: l.Request}
	}
	if l.Request <= 0 || l.Request > l.Total/2 {
		l.Request = l.Total / 2
	}
	if l.Organisation <= 0 {
		l.Organisation = l.Total
	}
	return l
}

// entry is the state of one request.
type entry struct {
	organisation string
	held         int64
	// wanted is the number of bytes that it waits for.
	wanted int64
	// writingSince is when the first part of the answer was written to the caller; zero before.
	writingSince time.Time
}

// ledger decides which requests get memory. It reads no clock and never blocks.
type ledger struct {
	limits Limits
	// shared is the number of bytes held outside the reserve, organisations the number of those
	// that each organisation holds.
	shared        int64
	organisations map[string]int64
	// reserveHolder is the request that may use the reserve.
	reserveHolder *entry
	// waiting lists the requests that wait for memory, in the order of their arrival.
	waiting []*entry
}

func newLedger(l Limits) *ledger {
	return &ledger{limits: l.normalized(), organisations: map[string]int64{}}
}

// total returns the number of bytes held.
func (l *ledger) total() int64 {
	if l.reserveHolder != nil {
		return l.shared + l.reserveHolder.held
	}
	return l.shared
}

// exceedsRequestLimit reports whether n more bytes would exceed the limit of one request.
func (l *ledger) exceedsRequestLimit(e *entry, n int64) bool {
	return l.limits.Request > 0 && e.held+n > l.limits.Request
}

// fits reports whether n more bytes are free for a request.
func (l *ledger) fits(e *entry, n int64) bool {
	return l.limits.Total <= 0 || e == l.reserveHolder || l.fitsTotal(n) && l.fitsOrganisation(e, n)
}

func (l *ledger) fitsTotal(n int64) bool { return l.shared+n <= l.limits.Total-l.limits.Request }

// fitsOrganisation reports whether the organisation of a request may hold n more bytes. Requests
// without an organisation share the total only.
func (l *ledger) fitsOrganisation(e *entry, n int64) bool {
	return e.organisation == "" || l.organisations[e.organisation]+n <= l.limits.Organisation
}

// reserve reserves n bytes for a request if they are free, and reports whether it did.
func (l *ledger) reserve(e *entry, n int64) bool {
	if !l.fits(e, n) {
		return false
	}
	e.held += n
	l.addShared(e, n)
	return true
}

// addShared counts n bytes outside the reserve.
func (l *ledger) addShared(e *entry, n int64) {
	if e == l.reserveHolder {
		return
	}
	l.shared += n
	if e.organisation == "" {
		return
	}
	if l.organisations[e.organisation] += n; l.organisations[e.organisation] == 0 {
		delete(l.organisations, e.organisation)
	}
}

// enqueue makes a request wait for n bytes, and returns the requests that were granted memory. That
// may be the request itself, since the first one that waits gets the reserve.
func (l *ledger) enqueue(e *entry, n int64) []*entry {
	e.wanted = n
	l.waiting = append(l.waiting, e)
	return l.grantWaiting()
}

// release releases n bytes of a request, and returns the requests that were granted memory.
func (l *ledger) release(e *entry, n int64) []*entry {
	e.held -= n
	l.addShared(e, -n)
	return l.grantWaiting()
}

// close releases everything that a request holds, and returns the requests that were granted
// memory.
func (l *ledger) close(e *entry) []*entry {
	l.waiting = slices.DeleteFunc(l.waiting, func(o *entry) bool { return o == e })
	l.addShared(e, -e.held)
	e.held, e.wanted = 0, 0
	if l.reserveHolder == e {
		l.reserveHolder = nil
	}
	return l.grantWaiting()
}

// dequeue ends the wait of a request.
func (l *ledger) dequeue(e *entry) {
	l.waiting = slices.DeleteFunc(l.waiting, func(o *entry) bool { return o == e })
	e.wanted = 0
}

// grantWaiting grants free memory to waiting requests, and returns those that got it.
func (l *ledger) grantWaiting() []*entry {
	l.freeReserve()
	var granted []*entry
	l.waiting = slices.DeleteFunc(l.waiting, func(e *entry) bool {
		if l.reserveHolder == nil && !l.fits(e, e.wanted) {
			l.grantReserve(e)
		}
		if !l.reserve(e, e.wanted) {
			return false
		}
		e.wanted = 0
		granted = append(granted, e)
		return true
	})
	return granted
}

// grantReserve lets a request use the reserve, and counts there what it holds.
func (l *ledger) grantReserve(e *entry) {
	l.addShared(e, -e.held)
	l.reserveHolder = e
}

// freeReserve frees the reserve once its request fits outside of it.
func (l *ledger) freeReserve() {
	e := l.reserveHolder
	if e == nil || !l.fitsTotal(e.held) || !l.fitsOrganisation(e, e.held) {
		return
	}
	l.reserveHolder = nil
	l.addShared(e, e.held)
}

// slowest returns the request to preempt for one that waits: the one whose caller started to read
// first, among those that have been reading for at least minReading; nil if there is none. If only
// the waiter's organisation is out of memory, it is a request of that organisation.
func (l *ledger) slowest(waiter *entry, candidates []*entry, now time.Time, minReading time.Duration) *entry {
	var out *entry
	ownOnly := l.fitsTotal(waiter.wanted)
	for _, e := range candidates {
		switch {
		case e == waiter || e.held == 0 || e.writingSince.IsZero() || now.Sub(e.writingSince) < minReading:
		case ownOnly && e.organisation != waiter.organisation:
		case out == nil || e.writingSince.Before(out.writingSince):
			out = e
		}
	}
	return out
}
