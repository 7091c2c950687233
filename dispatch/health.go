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
	lastGood     time.Time
	blockedUntil time.Time
	block        time.Duration
	// slow is how many times longer than expected an engine took to read prompts,
	// on average, at slowAt.
	slow   float64
	slowAt time.Time
	// unreachedAt is when a connection could not be opened, if that was the
	// newest that is known of the server.
	unreachedAt time.Time
}

// Constants of the moving averages and of ejection.
const (
	weight = 0.15
	// ejectAt is the share of failures at which a server is left alone for a
	// while, after at least ejectSamples requests.
	ejectAt      = 0.45
	ejectSamples = 5
	// afterEject is the share that counts when it is tried again.
	afterEject = 0.3
	blockMin   = 300 * time.Millisecond
	blockMax   = 3 * time.Second
	// failPenalty weighs the share of failures in the choice, freeShare is the
	// share of failures that is usual and not weighed.
	failPenalty = 12
	freeShare   = 0.08
	// blockedPenalty puts servers that are left alone behind all others; they
	// are still chosen if there is no other.
	blockedPenalty = 1e6
	// unheardFor bounds how long a server that could not be reached is left
	// alone for want of a report of its own: its reports may be what is cut off.
	unheardFor = 3 * time.Second
	// farWeight is the weight of a plain server of another zone: it is taken once those
	// of the gateway's zone have half as much to do again.
	farWeight = 1.5
	// leastLatency keeps fast and very fast servers alike.
	leastLatency = 0.02
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
		s.seen.note(now, true)
		f.judge(now)
		return
	}
	if o == Success {
		s.pause.RequestServed(now)
	}
	s.health.note(now, o, took)
	if o != Busy {
		s.seen.note(now, o != Success)
	}
	if o == Failure || o == Unreachable {
		f.judge(now)
	}
}

func (h *health) note(now time.Time, o Outcome, took time.Duration) {
	h.samples++
	failed := 0.0
	switch o {
	case Success:
		h.lastGood = now
		h.block = 0
		h.unreachedAt = time.Time{}
		h.latency += weight * (took.Seconds() - h.latency)
	case Busy:
		failed = 0.5
	case Failure:
		failed = 1
	case Unreachable:
		h.eject(now, blockMin)
		h.unreachedAt = now
		return
	}
	h.failing += weight * (failed - h.failing)
	if h.failing > ejectAt && h.samples >= ejectSamples {
		h.failing = afterEject
		h.eject(now, blockMin)
	}
}

// eject has a server left alone for at least a time, and for twice as long as the
// last time if it has not done well since.
func (h *health) eject(now time.Time, least time.Duration) {
	h.block = min(max(h.block*2, least), blockMax)
	h.blockedUntil = now.Add(h.block)
}

// blocked tells whether a server is left alone. One that could not be reached is
// until it has been heard since: a server that has died is the least used of
// all, so each gateway would come back to it first.
func (s *Server) blocked(now time.Time) bool {
	h := &s.health
	if now.Before(h.blockedUntil) || s.shunned(now) {
		return true
	}
	return !h.unreachedAt.IsZero() && !s.heardAt.After(h.unreachedAt) && now.Sub(h.unreachedAt) < unheardFor
}

// LeftAlone tells whether a server gets no new work for what went wrong there.
func (f *Fleet) Blocked(now time.Time, id string) bool {
	s := f.servers[id]
	return s != nil && s.blocked(now)
}

// score is the expected cost of one more request to a plain server.
func (f *Fleet) score(now time.Time, s *Server) float64 {
	h := &s.health
	score := float64(s.Open+1) * max(h.latency, leastLatency) * (1 + failPenalty*max(h.failing-freeShare, 0))
	if s.Zone != f.Zone {
		score *= farWeight
	}
	if s.blocked(now) {
		score += blockedPenalty
	}
	return score
}
