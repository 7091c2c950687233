package claim_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/claim"
)

// outcome is the result that an attempt returns to its caller.
type outcome struct {
	attempt string
	verdict claim.Verdict
	answer  string
}

// atMostOnce is the sequential model of a key. Its state is the attempt that ran
// the call, or empty.
var atMostOnce = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		ran, o := state.(string), output.(outcome)
		switch o.verdict {
		case claim.Won:
			return ran == "", o.attempt
		case claim.Answered:
			return ran == o.answer, ran
		case claim.Lost:
			return ran == "", ran // the caller may rely on "not run"
		}
		return true, ran // held by another attempt or unreachable: both states are possible
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestHistoryIsLinearizable runs concurrent attempts for one key on virtual time,
// with delays, lost messages and restarts, and checks the complete history.
func TestHistoryIsLinearizable(t *testing.T) {
	for seed := range uint64(300) {
		ops := runHistory(seed)
		if !porcupine.CheckOperations(atMostOnce, ops) {
			t.Fatalf("seed %d: %v", seed, ops)
		}
	}
}

// TestHistoryCheckCanFail checks that the model rejects a history with two
// winners and one in which an attempt that ran is reported as not run.
func TestHistoryCheckCanFail(t *testing.T) {
	two := []porcupine.Operation{
		{ClientId: 0, Call: 0, Return: 5, Output: outcome{attempt: "1", verdict: claim.Won}},
		{ClientId: 1, Call: 2, Return: 9, Output: outcome{attempt: "2", verdict: claim.Won}},
	}
	assert.Assert(t, !porcupine.CheckOperations(atMostOnce, two))
	wrong := []porcupine.Operation{
		{ClientId: 0, Call: 0, Return: 5, Output: outcome{attempt: "1", verdict: claim.Won}},
		{ClientId: 1, Call: 6, Return: 9, Output: outcome{attempt: "2", verdict: claim.Lost}},
	}
	assert.Assert(t, !porcupine.CheckOperations(atMostOnce, wrong), "attempt 1 had run")
}

// runHistory runs five attempts that start at random times and returns their
// calls and results.
func runHistory(seed uint64) []porcupine.Operation {
	rng := rand.New(rand.NewPCG(seed, 9))
	g := newGroup(members)
	type vote struct {
		at int64
		v  claim.Vote
	}
	type running struct {
		p     *claim.Proposer
		start int64
		votes []vote
		end   int64
		out   outcome
	}
	var all []*running
	for i := range 5 {
		name := fmt.Sprint(i)
		all = append(all, &running{p: claim.NewProposer(name, 3), start: int64(rng.IntN(60)), out: outcome{attempt: name}})
	}
	// For each attempt and voter, the times at which the request arrives and at
	// which the vote arrives at the attempt.
	type step struct {
		at  int64
		run func(now time.Time)
	}
	var steps []step
	for i, r := range all {
		for _, m := range members {
			arrive := r.start + int64(rng.IntN(20))
			back := arrive + int64(rng.IntN(20))
			lost := rng.IntN(8) == 0
			steps = append(steps, step{arrive, func(now time.Time) {
				if v := g.voters[m].Vote(now, request(fmt.Sprint(i))); !lost {
					r.votes = append(r.votes, vote{back, v})
				}
			}})
		}
	}
	down := members[rng.IntN(3)]
	steps = append(steps, step{int64(rng.IntN(80)), func(now time.Time) { g.restart(now, down, members) }})
	for now := int64(0); now < 200; now++ {
		clock := start.Add(time.Duration(now) * time.Millisecond)
		for _, s := range steps {
			if s.at == now {
				s.run(clock)
			}
		}
		if now%7 == 0 {
			g.copyAll(clock, down, members)
		}
		for _, r := range all {
			for _, v := range r.votes {
				if v.at == now && r.end == 0 {
					r.out.verdict = r.p.AddVote(v.v)
				}
			}
			if r.end == 0 && now == r.start+45 {
				r.out.verdict = r.p.Close()
			}
			if r.out.verdict == claim.Pending || r.end != 0 {
				continue
			}
			r.end = now
			rec := claim.Record{Key: "k", Attempt: r.out.attempt}
			switch r.out.verdict {
			case claim.Won:
				rec.Answer = &claim.Answer{Body: []byte(r.out.attempt)}
			case claim.Answered:
				r.out.answer = string(r.p.Answer().Body)
			}
			for _, m := range members {
				g.voters[m].Record(clock, rec)
			}
		}
	}
	var ops []porcupine.Operation
	for i, r := range all {
		ops = append(ops, porcupine.Operation{ClientId: i, Call: r.start, Return: r.end, Output: r.out})
	}
	return ops
}
