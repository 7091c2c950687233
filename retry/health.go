package retry

import "time"

// Parameters of the ejection of a server.
const (
	ejectAfter  = 3
	minEjection = time.Second
	maxEjection = 30 * time.Second
)

// Health tracks the failures of one server. After ejectAfter consecutive failures the server is
// ejected; after a time one request may probe it, and the outcome of that ends or doubles the
// ejection. The zero value is a healthy server.
type Health struct {
	failures     int
	ejected      bool
	ejectedUntil time.Time
	ejection     time.Duration
	probing      bool
}

// Usable reports whether the server may get a request now. For an ejected server this request is a
// probe, which the caller marks with StartProbe.
func (h *Health) Usable(now time.Time) bool {
	return !h.ejected || !h.probing && !now.Before(h.ejectedUntil)
}

// Ejected reports whether the server is ejected.
func (h *Health) Ejected() bool { return h.ejected }

// StartProbe records that a request is sent to the server.
func (h *Health) StartProbe() {
	if h.ejected {
		h.probing = true
	}
}

// RecordSuccess counts a success, which ends an ejection.
func (h *Health) RecordSuccess() { *h = Health{} }

// RecordFailure counts a failure and reports whether it ejects the server.
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
