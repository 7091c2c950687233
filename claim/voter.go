package claim

import (
	"time"

	"github.com/ledgepin/ledgepin/internal/pq"
)

// blocked takes the place of an attempt in a grant, so that no attempt can get
// the key. No attempt has this name.
const blocked = "?"

type grant struct {
	key     string
	attempt string
	body    uint64
	expires time.Time
	answer  *Answer
	pos     int // index in the heap
	// abandoned holds the attempts that abandoned the key. They can't get it
	// again.
	abandoned map[string]bool
}

// Voter is one member of a claim group.
type Voter struct {
	name        string
	incarnation uint64
	members     []string
	ready       bool
	readyAt     time.Time
	known       map[string]uint64
	copied      map[string]bool
	// received counts the grants received from each member so far; snapshots holds
	// the grants that are being sent to members, as of their first batch.
	received  map[string]int
	snapshots map[string][]HeldKey
	grants    map[string]*grant
	expiry    pq.Queue[*grant]
}

// NewVoter returns a voter without grants. It is not ready: it votes only after
// it has copied the grants of a majority, or after wait, when every key that it
// may have granted before has expired. The incarnation must increase with each
// restart.
func NewVoter(now time.Time, name string, incarnation uint64, members []string, wait time.Duration) *Voter {
	v := &Voter{
		name: name, incarnation: incarnation, members: members, readyAt: now.Add(wait),
		known: map[string]uint64{}, copied: map[string]bool{}, received: map[string]int{}, snapshots: map[string][]HeldKey{}, grants: map[string]*grant{},
	}
	v.expiry.Less = func(a, b *grant) bool { return a.expires.Before(b.expires) }
	v.expiry.Moved = func(g *grant, index int) { g.pos = index }
	return v
}

// Ready reports whether the voter votes.
func (v *Voter) Ready() bool { return v.ready }

// Keys returns the number of keys that are kept.
func (v *Voter) Keys() int { return len(v.grants) }

// Bootstrap makes the voter of a new group ready. Only the operator, or a test,
// can know that the group is new and no earlier grants exist.
func (v *Voter) Bootstrap() { v.ready = true }

// NextCopyRequest returns the next request of a voter that is not ready to
// another member, or nil if it is ready or has all of the member's grants.
func (v *Voter) NextCopyRequest(from string) *CopyRequest {
	if v.ready || v.copied[from] {
		return nil
	}
	return &CopyRequest{Voter: v.name, Incarnation: v.incarnation, From: v.received[from]}
}

// Tick deletes expired keys and makes the voter ready after its wait.
func (v *Voter) Tick(now time.Time) {
	if !v.ready && !now.Before(v.readyAt) {
		v.ready = true
	}
	for v.expiry.Len() > 0 && !v.expiry.First().expires.After(now) {
		delete(v.grants, v.expiry.Pop().key)
	}
}

// Vote returns the vote on an attempt and records a grant. It expires keys
// first.
func (v *Voter) Vote(now time.Time, a VoteRequest) Vote {
	v.Tick(now)
	out := Vote{Key: a.Key, Attempt: a.Attempt, Voter: v.name, Incarnation: v.incarnation, Known: v.knownCopy()}
	if !v.ready {
		out.Cold = true
		return out
	}
	g := v.grants[a.Key]
	if g == nil {
		g = &grant{key: a.Key, attempt: a.Attempt, body: a.Body, expires: now.Add(a.Lifetime)}
		v.grants[a.Key] = g
		v.expiry.Push(g)
	}
	if g.attempt == "" && !g.abandoned[a.Attempt] {
		g.attempt = a.Attempt
	}
	out.Other = g.body != a.Body
	out.OK = g.attempt == a.Attempt && !out.Other
	if !out.OK {
		out.Holder = g.attempt
		out.Answer = g.answer
	}
	return out
}

// Record stores the outcome of an attempt. An abandoned attempt releases the key
// for others, but never for itself.
func (v *Voter) Record(now time.Time, r Record) {
	g := v.grants[r.Key]
	if g == nil || g.attempt != r.Attempt {
		return
	}
	if r.Answer != nil {
		g.answer = r.Answer
		if r.Keep > 0 {
			g.expires = now.Add(r.Keep)
			v.expiry.Fix(g.pos)
		}
		return
	}
	g.abandon()
}

func (g *grant) abandon() {
	if g.abandoned == nil {
		g.abandoned = map[string]bool{}
	}
	g.abandoned[g.attempt] = true
	g.attempt = ""
}

// Limits of a CopyReply, so that it fits into a frame.
const (
	maxBatchKeys  = 5000
	maxBatchBytes = 4 << 20
)

// batchEnd returns the end of the batch of a list that begins at index from.
func batchEnd(list []HeldKey, from int) int {
	size := 0
	end := from
	for end < len(list) && end < from+maxBatchKeys && size < maxBatchBytes {
		if a := list[end].Answer; a != nil {
			size += len(a.Body)
		}
		end++
	}
	return end
}

// AnswerCopy answers the request of a restarted member. It records the member's
// incarnation before it reads the first batch, so that every later vote includes
// it.
func (v *Voter) AnswerCopy(now time.Time, c CopyRequest) CopyReply {
	if c.Incarnation > v.known[c.Voter] {
		v.known[c.Voter] = c.Incarnation
	}
	out := CopyReply{Voter: v.name, Incarnation: v.incarnation, Known: v.knownCopy(), For: c.Incarnation, Cold: !v.ready, From: c.From}
	if !v.ready {
		return out
	}
	if c.From == 0 {
		v.snapshots[c.Voter] = v.heldKeys(now)
	}
	list := v.snapshots[c.Voter]
	if c.From > len(list) {
		return CopyReply{Voter: v.name, For: c.Incarnation, Cold: true} // the requester starts again
	}
	end := batchEnd(list, c.From)
	out.Held = list[c.From:end]
	out.More = end < len(list)
	if !out.More {
		delete(v.snapshots, c.Voter)
	}
	return out
}

// heldKeys returns all grants.
func (v *Voter) heldKeys(now time.Time) []HeldKey {
	out := make([]HeldKey, 0, len(v.grants))
	for _, g := range v.grants {
		out = append(out, HeldKey{Key: g.key, Attempt: g.attempt, Body: g.body, Left: g.expires.Sub(now), Answer: g.answer})
	}
	return out
}

// ApplyCopy adds a batch of the grants of another member. It makes the voter
// ready once a majority of the group has sent all its grants.
func (v *Voter) ApplyCopy(now time.Time, c CopyReply) {
	if v.ready || c.For != v.incarnation || !v.isOtherMember(c.Voter) || v.copied[c.Voter] {
		return
	}
	if c.Cold || c.From != v.received[c.Voter] {
		v.received[c.Voter] = 0
		return
	}
	for _, h := range c.Held {
		v.merge(now, h)
	}
	for name, inc := range c.Known {
		v.known[name] = max(v.known[name], inc)
	}
	v.known[c.Voter] = max(v.known[c.Voter], c.Incarnation)
	v.received[c.Voter] += len(c.Held)
	if c.More {
		return
	}
	v.copied[c.Voter] = true
	v.ready = len(v.copied) >= Majority(len(v.members))
}

// merge adds a grant of another member. If two members granted a key to different
// attempts, this voter's lost grant may have given either of them the majority,
// so the key is blocked unless an answer shows which one ran.
func (v *Voter) merge(now time.Time, h HeldKey) {
	g := v.grants[h.Key]
	if g == nil {
		g = &grant{key: h.Key, attempt: h.Attempt, body: h.Body, expires: now.Add(h.Left), answer: h.Answer}
		v.grants[h.Key] = g
		v.expiry.Push(g)
		return
	}
	switch {
	case g.answer != nil:
	case h.Answer != nil || g.attempt == "":
		g.attempt, g.answer = h.Attempt, h.Answer
	case h.Attempt != "" && h.Attempt != g.attempt:
		g.attempt = blocked
	}
}

func (v *Voter) isOtherMember(name string) bool {
	for _, m := range v.members {
		if m == name && m != v.name {
			return true
		}
	}
	return false
}

func (v *Voter) knownCopy() map[string]uint64 {
	out := make(map[string]uint64, len(v.known))
	for k, n := range v.known {
		out[k] = n
	}
	return out
}

// Majority returns the smallest number of voters such that any two sets of that
// size out of n voters have one in common.
func Majority(n int) int { return n/2 + 1 }
