package retry

import "time"

// Times of the ejection of a server.
const (
	failuresToEject = 3
	firstEject      = time.Second
	maxEject        = 30 * time.Second
)

// Health follows the failures of one server. After some in a row the server
// is ejected; after a time one request may probe it, and its outcome ends or
// doubles the ejection. The zero value is a healthy server.
type Health struct {
	failures int
	ejected  bool
	until    time.Time
	wait     time.Duration
	probing  bool
}

// Usable tells whether the server may get a request now. A true answer for an
// ejected server is for one probe, which the caller marks with Probe.
func (h *Health) Usable(now time.Time) bool {
	return !h.ejected || !h.probing && !now.Before(h.until)
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
	if !h.ejected && h.failures < failuresToEject {
		return false
	}
	h.wait = min(max(2*h.wait, firstEject), maxEject)
	h.ejected, h.probing = true, false
	h.until = now.Add(h.wait)
	return true
}
