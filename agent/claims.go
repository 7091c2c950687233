package agent

import (
	"context"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/claim"
	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/wire"
)

// claimGroupKey identifies a claim group: a service at a site.
type claimGroupKey struct{ service, site string }

// joinClaimGroup makes the agent a claim voter if it is a member of a group in the
// settings. If the settings that it had before don't have the group, the group is new
// and has granted no claims, so the voter votes at once. Any other voter first copies
// the grants of the other members. Callers hold the lock.
func (a *Agent) joinClaimGroup(now time.Time, before *settings.Tree) {
	tree := a.store.Tree()
	key, members, lifetime := findClaimGroup(tree, a.cfg.Name)
	if len(members) == 0 || a.voter != nil && a.claimGroup == key {
		return
	}
	a.claimGroup = key
	a.voter = claim.NewVoter(now, a.cfg.Name, uint64(a.epoch), members, lifetime)
	if a.cfg.AssumeNewClaimGroup || before != nil && len(before.Fleet.Services[key.service].ClaimGroup[key.site]) == 0 {
		a.voter.Bootstrap()
		return
	}
	event.VoterRecovering.Log(a.log, "service", key.service, "site", key.site)
	var peers []settings.PlacedServer
	for _, name := range members {
		if p, ok := tree.Server(name); ok && name != a.cfg.Name {
			peers = append(peers, p)
		}
	}
	a.wg.Go(func() { a.copyGrants(a.voter, peers) })
}

func findClaimGroup(tree *settings.Tree, server string) (claimGroupKey, []string, time.Duration) {
	for name, svc := range tree.Fleet.Services {
		for site, members := range svc.ClaimGroup {
			if slices.Contains(members, server) {
				return claimGroupKey{name, site}, members, svc.ClaimLifetimeOrDefault()
			}
		}
	}
	return claimGroupKey{}, nil, 0
}

// copyTimeout is the timeout for copying the grants of one member.
const copyTimeout = 30 * time.Second

// copyInterval is the time between two attempts to copy grants.
const copyInterval = 300 * time.Millisecond

// copyGrants copies the grants of the other members until the voter has enough of them to
// vote.
func (a *Agent) copyGrants(v *claim.Voter, peers []settings.PlacedServer) {
	for a.ctx.Err() == nil {
		for _, p := range peers {
			a.copyFrom(v, p)
		}
		a.mu.Lock()
		warm := v.Ready()
		a.mu.Unlock()
		if warm {
			event.VoterRecovered.Log(a.log)
			return
		}
		wait.For(a.ctx, copyInterval)
	}
}

// copyFrom copies the grants of one member over a separate link.
func (a *Agent) copyFrom(v *claim.Voter, p settings.PlacedServer) {
	ctx, cancel := context.WithTimeout(a.ctx, copyTimeout)
	defer cancel()
	l, err := a.dialer.Dial(ctx, p.Agent, wire.Options{Hello: a.hello, Token: a.cfg.Token, TLS: a.cfg.TLS})
	if err != nil {
		return
	}
	a.requestCopy(v, p.Name, l)
	_ = l.Run(ctx, func(m *wire.Message) {
		if m.Copied == nil {
			return
		}
		a.mu.Lock()
		v.ApplyCopy(clock.VM.Now(), *m.Copied)
		a.mu.Unlock()
		if m.Copied.Cold {
			l.Close()
			return
		}
		a.requestCopy(v, p.Name, l)
	})
}

// requestCopy requests the next batch of the grants of a member, or closes the link after the
// last one.
func (a *Agent) requestCopy(v *claim.Voter, name string, l *wire.Link) {
	a.mu.Lock()
	ask := v.NextCopyRequest(name)
	a.mu.Unlock()
	if ask == nil {
		l.Close()
		return
	}
	_ = l.Send(&wire.Message{Copy: ask})
}

// handleClaim votes on a claim. Callers hold the lock.
func (a *Agent) handleClaim(now time.Time, l *wire.Link, m *claim.VoteRequest) {
	vote := claim.Vote{Key: m.Key, Attempt: m.Attempt, Voter: a.cfg.Name, Cold: true}
	if a.voter != nil {
		vote = a.voter.Vote(now, *m)
	}
	_ = l.Send(&wire.Message{Granted: &vote})
}

func (a *Agent) handleRecord(now time.Time, m *claim.Record) {
	if a.voter != nil {
		a.voter.Record(now, *m)
	}
}

func (a *Agent) handleCopy(now time.Time, l *wire.Link, m *claim.CopyRequest) {
	if a.voter != nil {
		c := a.voter.AnswerCopy(now, *m)
		_ = l.Send(&wire.Message{Copied: &c})
	}
}
