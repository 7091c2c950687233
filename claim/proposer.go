package claim

// Verdict is what an attempt knows about its claim.
type Verdict uint8

// The verdicts.
const (
	// Waiting means that more votes are needed.
	Pending Verdict = iota
	// Won means that the attempt may send its call, once.
	Won
	// Lost means that the attempt has sent nothing and never will, and that no
	// other attempt has won: the call did not run.
	Lost
	// Unreached means that the attempt has sent nothing and never will, but so
	// many voters are out of reach that an earlier attempt with the same key
	// may have won.
	Unreachable
	// Taken means that another attempt may have sent the call.
	HeldByOther
	// Answered means that another attempt has the recorded answer.
	Answered
	// Misused means that the key was used with another body.
	KeyReused
)

// String returns the verdict in reports.
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

// Vote takes one vote and returns the verdict. Once it is not Waiting, it
// stays.
func (p *Proposer) AddVote(v Vote) Verdict {
	if p.verdict != Pending || v.Attempt != p.attempt {
		return p.verdict
	}
	p.votes[v.Voter] = v
	p.verdict = p.decide(false)
	return p.verdict
}

// Close ends the wait: voters that have not answered count as unknown.
func (p *Proposer) Close() Verdict {
	if p.verdict == Pending {
		p.verdict = p.decide(true)
	}
	return p.verdict
}

// Answer returns the recorded answer, if the verdict is Answered.
func (p *Proposer) Answer() *Answer {
	for _, v := range p.votes {
		if v.Answer != nil {
			return v.Answer
		}
	}
	return nil
}

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
		return Pending // a later vote may show that nobody has won
	}
	return p.lossVerdict(holders, unknown)
}

// lost tells whether another attempt may have won. Grants that this attempt
// holds can't have gone to another one.
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

// stale tells whether a vote came from a voter that another one knows to have
// restarted since.
func (p *Proposer) stale(v Vote) bool {
	for _, w := range p.votes {
		if w.Known[v.Voter] > v.Incarnation {
			return true
		}
	}
	return false
}
