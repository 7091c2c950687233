package dispatch

import "time"

// Outcome is the result of a request to a server, as far as it shows the server's health.
type Outcome int

// The outcomes.
const (
	// Success is a complete answer.
	Success Outcome = iota
	// Busy is a refusal because the server is full.
	Busy
	// Failure is a failure of the server itself, or an answer that is not valid.
	Failure
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Lost is a Failure by a server that had accepted the request and whose answer was cut off:
	// by a reset, by a close, or by the end of its process.
	Lost
	// Neutral shows nothing about the server: the caller disconnected.
	Neutral
)

// health is what recent requests show about a server. A health check shows less: a server can
// pass it and fail its requests.
type health struct {
	// failing is the moving average of the share of requests that failed.
	failing float64
	// latency is the moving average of the time to an answer, in seconds.
	latency      float64
	samples      int
	lastSuccess  time.Time
	blockedUntil time.Time
	blockTime    time.Duration
	// slowFactor is the average factor, at slowAt, by which an engine took longer than
	// expected to prefill prompts.
	slowFactor float64
	slowAt     time.Time
	// unreachedAt is when a connection could not be opened; zero if a later request
	// succeeded.
	unreachedAt time.Time
}

// Constants of the moving averages and of blocking.
const (
	averageWeight = 0.15
	// blockShare is the average share of failures at which a server is blocked for a while,
	// after at least minBlockSamples requests.
	blockShare      = 0.45
	minBlockSamples = 5
	// shareAfterBlock is the average with which a blocked server is tried again.
	shareAfterBlock = 0.3
	minBlock        = 300 * time.Millisecond
	maxBlock        = 3 * time.Second
	// failPenalty is the weight of the share of failures in a choice; ignoredShare is the
	// usual share of failures, which has no weight.
	failPenalty  = 12
	ignoredShare = 0.08
	// blockedPenalty puts blocked servers behind all others; they are still chosen if there
	// is no other.
	blockedPenalty = 1e6
	// unreportedBlock bounds the time for which an unreachable server stays blocked until it
	// reports itself: its reports may be the ones that are lost in a partition.
	unreportedBlock = 3 * time.Second
	// otherZoneFactor is the factor on the score of a plain server in another zone: it is
	// chosen once the servers of the gateway's own zone have 1.5 times as much to do.
	otherZoneFactor = 1.5
	// warmTolerance is how much higher the score of a plain server with a warm connection may be
	// than that of the best one. Two scores differ by as much by chance: an average with
	// averageWeight has 0.28 times the deviation of a single latency, which is about half its mean,
	// and the difference of two averages has 1.4 times that.
	warmTolerance = 0.2
	// minLatency is the smallest latency in seconds that a score counts, so that fast and
	// very fast servers are equal.
	minLatency = 0.02
)

// NoteOutcome records the outcome of a request to a server, and how long it took.
func (f *Fleet) NoteOutcome(now time.Time, id string, o Outcome, took time.Duration) {
	s := f.servers[id]
	if s == nil || o == Neutral {
		return
	}
	if o == Success && !s.alive(now) {
		f.groups = nil // the groups left it out
	}
	if o == Lost || o == Unreachable && s.Role == "" {
		f.noteLost(now, s)
	}
	if o == Lost {
		o = Failure
	}
	if o == Busy && s.pause.Active(now) {
		// The server asked for a pause itself. Other gateways receive the refusal as a
		// failure.
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

// block blocks a server for at least the given time, and for twice as long as the last time
// if no request has succeeded since, up to maxBlock.
func (h *health) block(now time.Time, shortest time.Duration) {
	h.blockTime = min(max(h.blockTime*2, shortest), maxBlock)
	h.blockedUntil = now.Add(h.blockTime)
}

// blocked reports whether a server is blocked or ejected. One that could not be reached is
// blocked until it reports itself: a crashed server is the least used of all, so each gateway
// would choose it first again.
func (s *Server) blocked(now time.Time) bool {
	h := &s.health
	if now.Before(h.blockedUntil) || s.ejected(now) {
		return true
	}
	return !h.unreachedAt.IsZero() && !s.reportedAt.After(h.unreachedAt) && now.Sub(h.unreachedAt) < unreportedBlock
}

// Blocked reports whether a server gets no new work because of failures.
func (f *Fleet) Blocked(now time.Time, id string) bool {
	s := f.servers[id]
	return s != nil && s.blocked(now)
}

// Trusted reports whether nothing known about a plain server suggests that a request sent on a kept
// connection to it now might get no answer: it accepts work, is neither blocked nor ejected, and
// within evidenceTime no gateway has lost an answer of it or failed to open a connection to it. A
// complete answer, whatever its status, says nothing against the connection.
func (f *Fleet) Trusted(now time.Time, id string) bool {
	s := f.servers[id]
	return s != nil && s.Role == "" && s.available(now) && !s.blocked(now) && !s.losses.any(now)
}

// score returns the expected cost of one more request to a plain server.
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
