package claim

// Verdict is the result of an attempt to claim a key.
type Verdict uint8

// The verdicts.
const (
	// Pending means that more votes are needed.
	Pending Verdict = iota
	// Won means that the attempt may send its call, once.
	Won
	// Lost means that the attempt may not send its call and that no other attempt
	// has won: the call did not run.
	Lost
	// Unreachable means that the attempt may not send its call, but that so many
	// voters are unreachable that an earlier attempt with the same key may have
	// won.
	Unreachable
	// HeldByOther means that another attempt may have sent the call.
	HeldByOther
	// Answered means that the answer of another attempt is recorded.
	Answered
	// KeyReused means that the key was used with another body.
	KeyReused
)

// String returns the verdict as reports show it.
func (v Verdict) String() string {
	return [...]string{"waiting", "won", "not won", "voters out of reach", "held by another attempt", "answered before", "key used for another call"}[v]
}

// Proposer counts the votes for one attempt.
type Proposer struct {
	attempt string
	size    int
	votes   map[string]Vote
	verdict Verdict
}

// NewProposer returns a proposer for an attempt in a group of size voters.
func NewProposer(attempt string, size int) *Proposer {
	return &Proposer{attempt: attempt, size: size, votes: map[string]Vote{}}
}

// AddVote adds a vote and returns the verdict. A verdict other than Pending is
// final.
func (p *Proposer) AddVote(v Vote) Verdict {
	if p.verdict != Pending || v.Attempt != p.attempt {
		return p.verdict
	}
	p.votes[v.Voter] = v
	p.verdict = p.decide(false)
	return p.verdict
}

// Close ends the vote and returns the final verdict. Voters that have not
// answered may have granted the key to any attempt.
func (p *Proposer) Close() Verdict {
	if p.verdict == Pending {
		p.verdict = p.decide(true)
	}
	return p.verdict
}

// Answer returns the recorded answer if the verdict is Answered, or nil.
func (p *Proposer) Answer() *Answer {
	for _, v := range p.votes {
		if v.Answer != nil {
			return v.Answer
		}
	}
	return nil
}

// decide returns the verdict; last reports whether no more votes are expected.
func (p *Proposer) decide(last bool) Verdict {
	granted, unknown := 0, p.size
	holders := map[string]int{}
	for _, v := range p.votes {
		if v.Other {
			return KeyReused
		}
		if v.Answer != nil {
			return Answered
		}
		if v.Cold || p.stale(v) || v.Holder == blocked {
			continue
		}
		unknown--
		switch {
		case v.OK:
			granted++
		case v.Holder != "":
			holders[v.Holder]++
		}
	}
	if granted >= Majority(p.size) {
		return Won
	}
	if len(p.votes) < p.size && !last {
		return Pending // a later vote may show that no attempt has won
	}
	return p.lossVerdict(holders, unknown)
}

// lossVerdict returns the verdict of an attempt that has not won, depending on
// whether another one may have won. Voters that granted the key to this attempt
// can't have granted it to another one.
func (p *Proposer) lossVerdict(holders map[string]int, unknown int) Verdict {
	for _, n := range holders {
		if n+unknown >= Majority(p.size) {
			return HeldByOther
		}
	}
	if unknown >= Majority(p.size) {
		return Unreachable
	}
	return Lost
}

// stale reports whether a vote came from an incarnation of a voter that, by the
// vote of another voter, has ended.
func (p *Proposer) stale(v Vote) bool {
	for _, w := range p.votes {
		if w.Known[v.Voter] > v.Incarnation {
			return true
		}
	}
	return false
}
