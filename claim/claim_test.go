package claim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/claim"
)

var (
	start    = time.Unix(1000, 0)
	lifetime = time.Hour
	members  = []string{"a", "b", "c"}
)

// group is a claim group whose messages are passed by function calls.
type group struct {
	voters map[string]*claim.Voter
	starts uint64
}

func newGroup(names []string) *group {
	g := &group{voters: map[string]*claim.Voter{}}
	for _, m := range names {
		g.restart(start, m, names)
		g.voters[m].Bootstrap()
	}
	return g
}

// restart replaces a voter with a new incarnation without grants.
func (g *group) restart(now time.Time, name string, names []string) {
	g.starts++
	g.voters[name] = claim.NewVoter(now, name, g.starts, names, lifetime)
}

// copyAll lets a voter that is not ready copy the grants of those named members
// that are ready.
func (g *group) copyAll(now time.Time, name string, from []string) {
	for _, m := range from {
		for request := g.voters[name].NextCopyRequest(m); request != nil && m != name && g.voters[m].Ready(); request = g.voters[name].NextCopyRequest(m) {
			g.voters[name].ApplyCopy(now, g.voters[m].AnswerCopy(now, *request))
		}
	}
}

func request(attempt string) claim.VoteRequest {
	return claim.VoteRequest{Key: "k", Attempt: attempt, Body: 1, Lifetime: lifetime}
}

// propose collects the votes of the named voters and returns the final verdict.
func (g *group) propose(now time.Time, a claim.VoteRequest, voters ...string) (*claim.Proposer, claim.Verdict) {
	p := claim.NewProposer(a.Attempt, len(g.voters))
	for _, v := range voters {
		p.AddVote(g.voters[v].Vote(now, a))
	}
	return p, p.Close()
}

func TestVerdicts(t *testing.T) {
	other := request("2")
	other.Body = 2
	answer := &claim.Answer{Status: 200, Body: []byte("seat 7")}
	for _, c := range []struct {
		name      string
		before    func(*group)
		request   claim.VoteRequest
		reachable []string
		want      claim.Verdict
	}{
		{"first", func(*group) {}, request("1"), members, claim.Won},
		{"one voter unreachable", func(*group) {}, request("1"), []string{"a", "b"}, claim.Won},
		{"two voters unreachable", func(*group) {}, request("1"), []string{"a"}, claim.Unreachable},
		{"second attempt", func(g *group) { g.propose(start, request("1"), members...) }, request("2"), members, claim.HeldByOther},
		{"second attempt, other majority", func(g *group) { g.propose(start, request("1"), "a", "b") }, request("2"), []string{"b", "c"}, claim.HeldByOther},
		{"other body", func(g *group) { g.propose(start, request("1"), members...) }, other, members, claim.KeyReused},
		{"answered", func(g *group) {
			g.propose(start, request("1"), members...)
			g.voters["a"].Record(start, claim.Record{Key: "k", Attempt: "1", Answer: answer})
		}, request("2"), members, claim.Answered},
		{"split vote", func(g *group) {
			g.voters["a"].Vote(start, request("1"))
			g.voters["b"].Vote(start, request("2"))
		}, request("3"), members, claim.Lost},
		{"abandoned", func(g *group) {
			g.propose(start, request("1"), "a")
			g.voters["a"].Record(start, claim.Record{Key: "k", Attempt: "1"})
		}, request("2"), []string{"a", "b"}, claim.Won},
		{"one voter restarted", func(g *group) { g.restart(start, "c", members) }, request("1"), members, claim.Won},
		{"two voters restarted", func(g *group) { g.restart(start, "b", members); g.restart(start, "c", members) }, request("1"), members, claim.Unreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(members)
			c.before(g)
			p, v := g.propose(start, c.request, c.reachable...)
			assert.Equal(t, v, c.want, "%s", v)
			if c.want == claim.Answered {
				assert.Equal(t, string(p.Answer().Body), "seat 7")
			}
		})
	}
}

func TestAbandonedAttemptNeverWins(t *testing.T) {
	g := newGroup(members)
	g.voters["a"].Vote(start, request("1"))
	g.voters["a"].Record(start, claim.Record{Key: "k", Attempt: "1"})
	assert.Assert(t, !g.voters["a"].Vote(start, request("1")).OK)
}

func TestTwoRestartedVotersWaitForTheLifetime(t *testing.T) {
	g := newGroup(members)
	g.propose(start, request("1"), "a", "b")
	g.restart(start, "a", members)
	g.restart(start, "b", members)
	g.copyAll(start, "a", members)
	g.copyAll(start, "b", members)
	_, v := g.propose(start.Add(lifetime-time.Second), request("2"), members...)
	assert.Assert(t, v != claim.Won)
	_, v = g.propose(start.Add(lifetime), request("3"), members...)
	assert.Equal(t, v, claim.Won, "%s", v)
}

func TestRecordedAnswerIsKeptLonger(t *testing.T) {
	g := newGroup(members)
	short := request("1")
	short.Lifetime = time.Minute
	g.propose(start, short, members...)
	rec := claim.Record{Key: "k", Attempt: "1", Answer: &claim.Answer{Status: 200}, Keep: lifetime}
	g.voters["a"].Record(start, rec)
	late := start.Add(30 * time.Minute)
	assert.Assert(t, g.voters["a"].Vote(late, request("2")).Answer != nil)
	assert.Assert(t, g.voters["b"].Vote(late, request("2")).OK, "b did not receive the answer")
}

func TestCopyInBatches(t *testing.T) {
	g := newGroup(members)
	const keys = 12345
	for i := range keys {
		a := request("1")
		a.Key = fmt.Sprint("key", i)
		g.voters["a"].Vote(start, a)
	}
	g.restart(start, "b", members)
	v := g.voters["b"]
	batches := 0
	for c := v.NextCopyRequest("a"); c != nil; c = v.NextCopyRequest("a") {
		v.ApplyCopy(start, g.voters["a"].AnswerCopy(start, *c))
		batches++
		if batches == 1 { // the reply to a request is lost, and it is repeated
			g.voters["a"].AnswerCopy(start, *v.NextCopyRequest("a"))
		}
	}
	assert.Equal(t, batches, 3)
	assert.Equal(t, v.Keys(), keys)
	assert.Assert(t, !v.Ready())
	g.copyAll(start, "b", []string{"c"})
	assert.Assert(t, v.Ready())
}

// inflight is a vote that its proposer has not received yet.
type inflight struct {
	vote claim.Vote
	to   int
}

// TestAtMostOneWins runs attempts for one key against voters that restart without
// their grants and copy them, with requests and votes late, lost, repeated and
// out of order. At most one attempt may win.
func TestAtMostOneWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := members
		if rapid.Bool().Draw(t, "five") {
			names = []string{"a", "b", "c", "d", "e"}
		}
		g := newGroup(names)
		attempts := rapid.IntRange(2, 4).Draw(t, "attempts")
		proposers := make([]*claim.Proposer, attempts)
		closed := make([]bool, attempts)
		for i := range attempts {
			proposers[i] = claim.NewProposer(fmt.Sprint(i), len(names))
		}
		var inFlight []inflight
		won := map[int]bool{}
		check := func(i int, v claim.Verdict) {
			if v == claim.Won {
				won[i] = true
			}
			if len(won) > 1 {
				t.Fatalf("more than one attempt won: %v", won)
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, attempts-1).Draw(t, "attempt")
			name := rapid.SampledFrom(names).Draw(t, "voter")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				inFlight = append(inFlight, inflight{g.voters[name].Vote(start, request(fmt.Sprint(i))), i})
			case 3, 4:
				if len(inFlight) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(inFlight)-1).Draw(t, "vote")
				if !closed[inFlight[k].to] {
					check(inFlight[k].to, proposers[inFlight[k].to].AddVote(inFlight[k].vote))
				}
			case 5:
				// The protocol tolerates a minority of voters without grants at a time.
				cold := 0
				for _, v := range g.voters {
					if !v.Ready() {
						cold++
					}
				}
				if cold == 0 {
					g.restart(start, name, names)
				}
				for n := range g.voters {
					g.copyAll(start, n, rapid.Permutation(names).Draw(t, "order")[:rapid.IntRange(0, len(names)).Draw(t, "answers")])
				}
			case 6:
				if !won[i] && !closed[i] {
					v := proposers[i].Close()
					check(i, v)
					if v != claim.Won {
						closed[i] = true
						g.voters[name].Record(start, claim.Record{Key: "k", Attempt: fmt.Sprint(i)})
					}
				}
			}
		}
	})
}

// BenchmarkKeys measures the memory of a key with an answer of 64 bytes.
func BenchmarkKeys(b *testing.B) {
	const keys = 100000
	for b.Loop() {
		before := heap()
		v := claim.NewVoter(start, "a", 1, members, lifetime)
		v.Bootstrap()
		for i := range keys {
			a := request("0123456789abcdef01234567")
			a.Key = fmt.Sprintf("customer/licence/key-%08d", i)
			v.Vote(start, a)
			v.Record(start, claim.Record{Key: a.Key, Attempt: a.Attempt, Answer: &claim.Answer{Status: 200, Body: make([]byte, 64)}})
		}
		b.ReportMetric((heap()-before)/keys, "B/key")
		runtime.KeepAlive(v)
	}
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
