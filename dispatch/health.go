package dispatch

import "time"

// Outcome is how a request to a server went, as far as it tells of the server.
type Outcome int

// The outcomes.
const (
	// Good is a whole answer.
	Success Outcome = iota
	// Busy is a refusal because the server is full.
	Busy
	// Bad is a failure of the server's own, or an answer that makes no sense.
	Failure
	// Unreached is a connection that could not be opened.
	Unreachable
	// Neutral says nothing: the caller left.
	Neutral
)

// health is what the last requests tell of a server. Health checks tell less:
// a server can pass them and fail its requests.
type health struct {
	// failing is the moving share of requests that failed.
	failing float64
	// latency is the moving average of the time to an answer, in seconds.
	latency      float64
	samples      int
	lastSuccess  time.Time
	blockedUntil time.Time
	blockTime    time.Duration
	// slow is how many times longer than expected an engine took to read prompts,
	// on average, at slowAt.
	slowFactor float64
	slowAt     time.Time
	// unreachedAt is when a connection could not be opened, if that was the
	// newest that is known of the server.
	unreachedAt time.Time
}

// Constants of the moving averages and of ejection.
const (
	averageWeight = 0.15
	// ejectAt is the share of failures at which a server is left alone for a
	// while, after at least ejectSamples requests.
	blockShare      = 0.45
	minBlockSamples = 5
	// afterEject is the share that counts when it is tried again.
	shareAfterBlock = 0.3
	minBlock        = 300 * time.Millisecond
	maxBlock        = 3 * time.Second
	// failPenalty weighs the share of failures in the choice, freeShare is the
	// share of failures that is usual and not weighed.
	failPenalty  = 12
	ignoredShare = 0.08
	// blockedPenalty puts servers that are left alone behind all others; they
	// are still chosen if there is no other.
	blockedPenalty = 1e6
	// unheardFor bounds how long a server that could not be reached is left
	// alone for want of a report of its own: its reports may be what is cut off.
	unreportedBlock = 3 * time.Second
	// farWeight is the weight of a plain server of another zone: it is taken once those
	// of the gateway's zone have half as much to do again.
	otherZoneFactor = 1.5
	// leastLatency keeps fast and very fast servers alike.
	minLatency = 0.02
)

// Note takes how a request to a server went, and how long it took.
func (f *Fleet) NoteOutcome(now time.Time, id string, o Outcome, took time.Duration) {
	s := f.servers[id]
	if s == nil || o == Neutral {
		return
	}
	if o == Success && !s.alive(now) {
		f.groups = nil // it was left out
	}
	if o == Busy && s.pause.Active(now) {
		// It says itself when to come back, and the others hear of it as of a failure.
		s.ownEvidence.record(now, true)
		f.ejectFailing(now)
		return
	}
	if o == Success {
		s.pause.RequestServed(now)
	}
	s.health.record(now, o, took)
	if o != Busy {
		s.ownEvidence.record(now, o != Success)
	}
	if o == Failure || o == Unreachable {
		f.ejectFailing(now)
	}
}

func (h *health) record(now time.Time, o Outcome, took time.Duration) {
	h.samples++
	failed := 0.0
	switch o {
	case Success:
		h.lastSuccess = now
		h.blockTime = 0
		h.unreachedAt = time.Time{}
		h.latency += averageWeight * (took.Seconds() - h.latency)
	case Busy:
		failed = 0.5
	case Failure:
		failed = 1
	case Unreachable:
		h.block(now, minBlock)
		h.unreachedAt = now
		return
	}
	h.failing += averageWeight * (failed - h.failing)
	if h.failing > blockShare && h.samples >= minBlockSamples {
		h.failing = shareAfterBlock
		h.block(now, minBlock)
	}
}

// eject has a server left alone for at least a time, and for twice as long as the
// last time if it has not done well since.
func (h *health) block(now time.Time, shortest time.Duration) {
	h.blockTime = min(max(h.blockTime*2, shortest), maxBlock)
	h.blockedUntil = now.Add(h.blockTime)
}

// blocked tells whether a server is left alone. One that could not be reached is
// until it has been heard since: a server that has died is the least used of
// all, so each gateway would come back to it first.
func (s *Server) blocked(now time.Time) bool {
	h := &s.health
	if now.Before(h.blockedUntil) || s.ejected(now) {
		return true
	}
	return !h.unreachedAt.IsZero() && !s.reportedAt.After(h.unreachedAt) && now.Sub(h.unreachedAt) < unreportedBlock
}

// LeftAlone tells whether a server gets no new work for what went wrong there.
func (f *Fleet) Blocked(now time.Time, id string) bool {
	s := f.servers[id]
	return s != nil && s.blocked(now)
}

// score is the expected cost of one more request to a plain server.
func (f *Fleet) score(now time.Time, s *Server) float64 {
	h := &s.health
	score := float64(s.Open+1) * max(h.latency, minLatency) * (1 + failPenalty*max(h.failing-ignoredShare, 0))
	if s.Zone != f.Zone {
		score *= otherZoneFactor
	}
	if s.blocked(now) {
		score += blockedPenalty
	}
	return score
}
