package entry

import (
	"context"
	"time"

	"github.com/ledgepin/ledgepin/claim"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/wire"
)

// pendingClaim is a claim that waits for votes.
type pendingClaim struct {
	proposer *claim.Proposer
	verdict  chan claim.Verdict
}

// claimTimeout is how long a claim waits for the votes of its group.
const claimTimeout = time.Second

// claimGroup returns the site and members of the claim group of a service for a customer:
// the group of the customer's home site, or else the first one by the name of its site.
func claimGroup(svc settings.Service, home string) (string, []string) {
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

// claim requests the votes of the members of a group and returns the verdict.
func (e *Entry) claim(ctx context.Context, ask claim.VoteRequest, members []string) (claim.Verdict, *claim.Proposer) {
	p := claim.NewProposer(ask.Attempt, len(members))
	w := &pendingClaim{proposer: p, verdict: make(chan claim.Verdict, 1)}
	e.mu.Lock()
	e.pendingClaims[ask.Attempt] = w
	for _, name := range members {
		e.sendToAgent(name, &wire.Message{Grant: &ask})
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
	delete(e.pendingClaims, ask.Attempt)
	verdict := p.Close()
	metric.Claims.WithLabelValues(verdict.String()).Inc()
	return verdict, p
}

func (e *Entry) handleVote(v *claim.Vote) {
	w := e.pendingClaims[v.Attempt]
	if w == nil {
		return
	}
	if verdict := w.proposer.AddVote(*v); verdict != claim.Pending {
		select {
		case w.verdict <- verdict:
		default:
		}
	}
}

// pendingRecord is an outcome that a majority of the voters has not confirmed yet.
type pendingRecord struct {
	// missing is the number of voters that must still confirm it.
	missing int
	timer   *time.Timer
	done    chan struct{}
}

// releaseClaim releases the votes for an attempt that sent nothing.
func (e *Entry) releaseClaim(ask claim.VoteRequest, members []string) {
	e.sendRecord(&claim.Record{Key: ask.Key, Attempt: ask.Attempt}, members)
}

// sendRecord sends the outcome of an attempt to the voters. The channel that it returns
// is closed once a majority of them has recorded it, or recordTimeout later. A retry that
// the caller then sends through another entry finds the outcome.
func (e *Entry) sendRecord(r *claim.Record, members []string) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sendRecordLocked(r, members)
}

// sendRecordLocked is sendRecord for callers that hold the lock.
func (e *Entry) sendRecordLocked(r *claim.Record, members []string) <-chan struct{} {
	sent := 0
	for _, name := range members {
		if e.sendToAgent(name, &wire.Message{Record: r}) {
			sent++
		}
	}
	w := &pendingRecord{missing: min(claim.Majority(len(members)), sent), done: make(chan struct{})}
	if w.missing == 0 {
		close(w.done)
		return w.done
	}
	e.pendingRecords[r.Attempt] = w
	w.timer = time.AfterFunc(e.recordTimeout, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.endRecord(r.Attempt, w)
	})
	return w.done
}

// handleRecorded handles the confirmation of a voter that it has recorded an outcome. Callers
// hold the lock.
func (e *Entry) handleRecorded(attempt string) {
	w := e.pendingRecords[attempt]
	if w == nil {
		return
	}
	if w.missing--; w.missing == 0 {
		e.endRecord(attempt, w)
	}
}

// endRecord ends the wait for an outcome to be recorded. Callers hold the lock.
func (e *Entry) endRecord(attempt string, w *pendingRecord) {
	if e.pendingRecords[attempt] == w {
		w.timer.Stop()
		delete(e.pendingRecords, attempt)
		close(w.done)
	}
}
