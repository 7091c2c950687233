package retry

import "time"

// Times of the ejection of a server.
const (
	ejectAfter  = 3
	minEjection = time.Second
	maxEjection = 30 * time.Second
)

// Health follows the failures of one server. After some in a row the server
// is ejected; after a time one request may probe it, and its outcome ends or
// doubles the ejection. The zero value is a healthy server.
type Health struct {
	failures     int
	ejected      bool
	ejectedUntil time.Time
	ejection     time.Duration
	probing      bool
}

// Usable tells whether the server may get a request now. A true answer for an
// ejected server is for one probe, which the caller marks with Probe.
func (h *Health) Usable(now time.Time) bool {
	return !h.ejected || !h.probing && !now.Before(h.ejectedUntil)
}

// Ejected tells whether the server is ejected.
func (h *Health) Ejected() bool { return h.ejected }

// StartProbe marks that a request goes to the server.
func (h *Health) StartProbe() {
	if h.ejected {
		h.probing = true
	}
}

// RecordSuccess takes a success.
func (h *Health) RecordSuccess() { *h = Health{} }

// RecordFailure takes a failure; it reports true if the server is ejected by it.
func (h *Health) RecordFailure(now time.Time) bool {
	h.failures++
	if !h.ejected && h.failures < ejectAfter {
		return false
	}
	h.ejection = min(max(2*h.ejection, minEjection), maxEjection)
	h.ejected, h.probing = true, false
	h.ejectedUntil = now.Add(h.ejection)
	return true
}
