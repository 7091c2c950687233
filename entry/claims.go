package entry

import (
	"context"
	"time"

	"github.com/ledgepin/ledgepin/claim"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/wire"
)

// claimWait is a claim whose votes are awaited.
type claimWait struct {
	proposer *claim.Proposer
	verdict  chan claim.Verdict
}

// claimTimeout is how long the votes of a claim group are awaited.
const claimTimeout = time.Second

// group returns the claim group of a service for a customer: that of its home
// site, or the first one.
func group(svc settings.Service, home string) (string, []string) {
	if members, ok := svc.ClaimGroup[home]; ok {
		return home, members
	}
	first := ""
	for site := range svc.ClaimGroup {
		if first == "" || site < first {
			first = site
		}
	}
	return first, svc.ClaimGroup[first]
}

// claim asks the members of a group for their votes.
func (e *Entry) claim(ctx context.Context, ask claim.Ask, members []string) (claim.Verdict, *claim.Proposer) {
	p := claim.NewProposer(ask.Attempt, len(members))
	w := &claimWait{proposer: p, verdict: make(chan claim.Verdict, 1)}
	e.mu.Lock()
	e.claims[ask.Attempt] = w
	for _, name := range members {
		e.toAgent(name, &wire.Message{Grant: &ask})
	}
	e.mu.Unlock()
	t := time.NewTimer(claimTimeout)
	defer t.Stop()
	select {
	case <-w.verdict:
	case <-t.C:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.claims, ask.Attempt)
	verdict := p.Close()
	metric.Claims.WithLabelValues(verdict.String()).Inc()
	return verdict, p
}

func (e *Entry) voted(v *claim.Vote) {
	w := e.claims[v.Attempt]
	if w == nil {
		return
	}
	if verdict := w.proposer.Vote(*v); verdict != claim.Waiting {
		select {
		case w.verdict <- verdict:
		default:
		}
	}
}

// giveUp frees the grants of an attempt that sent nothing.
func (e *Entry) giveUp(ask claim.Ask, members []string) {
	e.tellGroup(&claim.Record{Key: ask.Key, Attempt: ask.Attempt}, members)
}

func (e *Entry) tellGroup(r *claim.Record, members []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tellGroupLocked(r, members)
}

func (e *Entry) tellGroupLocked(r *claim.Record, members []string) {
	for _, name := range members {
		e.toAgent(name, &wire.Message{Record: r})
	}
}
