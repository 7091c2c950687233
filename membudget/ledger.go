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
func (l Limits) normal() Limits {
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
	wants int64
	// writing is when its caller was given the first part of its answer; zero before.
	writing time.Time
}

// ledger decides who gets memory. It reads no clock and waits for nothing.
type ledger struct {
	limits Limits
	// shared are the bytes held outside the kept part, organisations those of each.
	shared        int64
	organisations map[string]int64
	// favoured is the request that has the kept part.
	favoured *entry
	// waiting are those that lack room, the first that came in front.
	waiting []*entry
}

func newLedger(l Limits) *ledger {
	return &ledger{limits: l.normal(), organisations: map[string]int64{}}
}

// total returns the bytes that are held.
func (l *ledger) total() int64 {
	if l.favoured != nil {
		return l.shared + l.favoured.held
	}
	return l.shared
}

// tooMuch tells whether a request would hold more than one may.
func (l *ledger) tooMuch(e *entry, n int64) bool {
	return l.limits.Request > 0 && e.held+n > l.limits.Request
}

// fits tells whether there is room for more bytes of a request.
func (l *ledger) fits(e *entry, n int64) bool {
	return l.limits.Total <= 0 || e == l.favoured || l.fitsAll(n) && l.fitsOrganisation(e, n)
}

func (l *ledger) fitsAll(n int64) bool { return l.shared+n <= l.limits.Total-l.limits.Request }

// fitsOrganisation tells whether the organisation of a request may hold more. Requests of no
// organisation share the total only.
func (l *ledger) fitsOrganisation(e *entry, n int64) bool {
	return e.organisation == "" || l.organisations[e.organisation]+n <= l.limits.Organisation
}

// take counts bytes for a request, if there is room.
func (l *ledger) take(e *entry, n int64) bool {
	if !l.fits(e, n) {
		return false
	}
	e.held += n
	l.share(e, n)
	return true
}

// share counts bytes outside the kept part.
func (l *ledger) share(e *entry, n int64) {
	if e == l.favoured {
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
func (l *ledger) wait(e *entry, n int64) []*entry {
	e.wants = n
	l.waiting = append(l.waiting, e)
	return l.grant()
}

// give takes bytes of a request back, and returns who has room now.
func (l *ledger) give(e *entry, n int64) []*entry {
	e.held -= n
	l.share(e, -n)
	return l.grant()
}

// end takes all of a request back, and returns who has room now.
func (l *ledger) end(e *entry) []*entry {
	l.waiting = slices.DeleteFunc(l.waiting, func(o *entry) bool { return o == e })
	l.share(e, -e.held)
	e.held, e.wants = 0, 0
	if l.favoured == e {
		l.favoured = nil
	}
	return l.grant()
}

// leave ends the wait of a request.
func (l *ledger) leave(e *entry) {
	l.waiting = slices.DeleteFunc(l.waiting, func(o *entry) bool { return o == e })
	e.wants = 0
}

// grant gives room to those that wait, and returns who has got it.
func (l *ledger) grant() []*entry {
	l.unfavour()
	var granted []*entry
	l.waiting = slices.DeleteFunc(l.waiting, func(e *entry) bool {
		if l.favoured == nil && !l.fits(e, e.wants) {
			l.favour(e)
		}
		if !l.take(e, e.wants) {
			return false
		}
		e.wants = 0
		granted = append(granted, e)
		return true
	})
	return granted
}

// favour gives a request the kept part, and counts there what it holds.
func (l *ledger) favour(e *entry) {
	l.share(e, -e.held)
	l.favoured = e
}

// unfavour takes the kept part back once there is room for its request without it.
func (l *ledger) unfavour() {
	e := l.favoured
	if e == nil || !l.fitsAll(e.held) || !l.fitsOrganisation(e, e.held) {
		return
	}
	l.favoured = nil
	l.share(e, e.held)
}

// slowest returns which of the requests gives up its memory for one that waits: of those whose
// callers have been reading for longer than least, the one that began first; nil if there is
// none. Where only the organisation of the one that waits lacks room, it is one of that.
func (l *ledger) slowest(waits *entry, of []*entry, now time.Time, least time.Duration) *entry {
	var out *entry
	ownOnly := l.fitsAll(waits.wants)
	for _, e := range of {
		switch {
		case e == waits || e.held == 0 || e.writing.IsZero() || now.Sub(e.writing) < least:
		case ownOnly && e.organisation != waits.organisation:
		case out == nil || e.writing.Before(out.writing):
			out = e
		}
	}
	return out
}
