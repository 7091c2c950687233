package membudget

import (
	"slices"
	"time"
)

// Limits bound the bytes that are held. A bound of zero is none.
type Limits struct {
	// Total bounds the bytes of all requests, Organisation those of the requests of one
	// organisation, and Request those of one.
	Total, Organisation, Request int64
}

// normal returns limits in which the part that is kept for one request is at most half of all.
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

// entry is what one request holds.
type entry struct {
	organisation string
	held         int64
	// wants are the bytes that it waits for.
	wanted int64
	// writing is when its caller was given the first part of its answer; zero before.
	writingSince time.Time
}

// ledger decides who gets memory. It reads no clock and waits for nothing.
type ledger struct {
	limits Limits
	// shared are the bytes held outside the kept part, organisations those of each.
	shared        int64
	organisations map[string]int64
	// favoured is the request that has the kept part.
	reserveHolder *entry
	// waiting are those that lack room, the first that came in front.
	waiting []*entry
}

func newLedger(l Limits) *ledger {
	return &ledger{limits: l.normalized(), organisations: map[string]int64{}}
}

// total returns the bytes that are held.
func (l *ledger) total() int64 {
	if l.reserveHolder != nil {
		return l.shared + l.reserveHolder.held
	}
	return l.shared
}

// tooMuch tells whether a request would hold more than one may.
func (l *ledger) exceedsRequestLimit(e *entry, n int64) bool {
	return l.limits.Request > 0 && e.held+n > l.limits.Request
}

// fits tells whether there is room for more bytes of a request.
func (l *ledger) fits(e *entry, n int64) bool {
	return l.limits.Total <= 0 || e == l.reserveHolder || l.fitsTotal(n) && l.fitsOrganisation(e, n)
}

func (l *ledger) fitsTotal(n int64) bool { return l.shared+n <= l.limits.Total-l.limits.Request }

// fitsOrganisation tells whether the organisation of a request may hold more. Requests of no
// organisation share the total only.
func (l *ledger) fitsOrganisation(e *entry, n int64) bool {
	return e.organisation == "" || l.organisations[e.organisation]+n <= l.limits.Organisation
}

// take counts bytes for a request, if there is room.
func (l *ledger) reserve(e *entry, n int64) bool {
	if !l.fits(e, n) {
		return false
	}
	e.held += n
	l.addShared(e, n)
	return true
}

// share counts bytes outside the kept part.
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

// wait has a request wait for bytes, and returns who has room now: the first that waits is
// favoured, so that it may be the request itself.
func (l *ledger) enqueue(e *entry, n int64) []*entry {
	e.wanted = n
	l.waiting = append(l.waiting, e)
	return l.grantWaiting()
}

// give takes bytes of a request back, and returns who has room now.
func (l *ledger) release(e *entry, n int64) []*entry {
	e.held -= n
	l.addShared(e, -n)
	return l.grantWaiting()
}

// end takes all of a request back, and returns who has room now.
func (l *ledger) close(e *entry) []*entry {
	l.waiting = slices.DeleteFunc(l.waiting, func(o *entry) bool { return o == e })
	l.addShared(e, -e.held)
	e.held, e.wanted = 0, 0
	if l.reserveHolder == e {
		l.reserveHolder = nil
	}
	return l.grantWaiting()
}

// leave ends the wait of a request.
func (l *ledger) dequeue(e *entry) {
	l.waiting = slices.DeleteFunc(l.waiting, func(o *entry) bool { return o == e })
	e.wanted = 0
}

// grant gives room to those that wait, and returns who has got it.
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

// favour gives a request the kept part, and counts there what it holds.
func (l *ledger) grantReserve(e *entry) {
	l.addShared(e, -e.held)
	l.reserveHolder = e
}

// unfavour takes the kept part back once there is room for its request without it.
func (l *ledger) freeReserve() {
	e := l.reserveHolder
	if e == nil || !l.fitsTotal(e.held) || !l.fitsOrganisation(e, e.held) {
		return
	}
	l.reserveHolder = nil
	l.addShared(e, e.held)
}

// slowest returns which of the requests gives up its memory for one that waits: of those whose
// callers have been reading for longer than least, the one that began first; nil if there is
// none. Where only the organisation of the one that waits lacks room, it is one of that.
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
