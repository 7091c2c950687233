package claim

import (
	"time"

	"github.com/ledgepin/ledgepin/internal/pq"
)

// blocked holds a key in place of an attempt; no attempt has this name.
const blocked = "?"

type grant struct {
	key     string
	attempt string
	body    uint64
	expires time.Time
	answer  *Answer
	pos     int // index in the heap
	// given marks the attempts that gave the key up: they may not get it back.
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
	// got counts the grants that came from each member so far; lists are the
	// grants that are being sent to members, as they were at the first part.
	received  map[string]int
	snapshots map[string][]HeldKey
	grants    map[string]*grant
	expiry    pq.Queue[*grant]
}

// NewVoter returns a voter without grants. It is cold: it votes only after it
// has copied the grants of a majority, or when wait has passed, by which time
// every key that it may have forgotten has ended. The incarnation must be
// higher at each start.
func NewVoter(now time.Time, name string, incarnation uint64, members []string, wait time.Duration) *Voter {
	v := &Voter{
		name: name, incarnation: incarnation, members: members, readyAt: now.Add(wait),
		known: map[string]uint64{}, copied: map[string]bool{}, received: map[string]int{}, snapshots: map[string][]HeldKey{}, grants: map[string]*grant{},
	}
	v.expiry.Less = func(a, b *grant) bool { return a.expires.Before(b.expires) }
	v.expiry.Moved = func(g *grant, index int) { g.pos = index }
	return v
}

// Warm tells whether the voter votes.
func (v *Voter) Ready() bool { return v.ready }

// Keys counts the keys that are kept.
func (v *Voter) Keys() int { return len(v.grants) }

// Found makes the voter vote at once: the group is new and has no past. Only
// the operator, or a test, can know that.
func (v *Voter) Bootstrap() { v.ready = true }

// Copy returns what a cold voter asks another member next; nil once it is warm
// or has all of that member's grants.
func (v *Voter) NextCopyRequest(from string) *CopyRequest {
	if v.ready || v.copied[from] {
		return nil
	}
	return &CopyRequest{Voter: v.name, Incarnation: v.incarnation, From: v.received[from]}
}

// Tick forgets keys whose lifetime is over and ends a long wait.
func (v *Voter) Tick(now time.Time) {
	if !v.ready && !now.Before(v.readyAt) {
		v.ready = true
	}
	for v.expiry.Len() > 0 && !v.expiry.First().expires.After(now) {
		delete(v.grants, v.expiry.Pop().key)
	}
}

// Ask decides on one attempt.
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

// Record keeps the outcome of an attempt. An attempt that was given up frees
// the key for others, but never for itself.
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

// Bounds of one Copied, so that it fits into a frame.
const (
	maxBatchKeys  = 5000
	maxBatchBytes = 4 << 20
)

// partEnd returns where the part of a list that begins at from ends.
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

// CopyFor answers a restarted member. Its incarnation is noted before the first
// part is read, so that every later vote tells it.
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
		return CopyReply{Voter: v.name, For: c.Incarnation, Cold: true} // it has to begin anew
	}
	end := batchEnd(list, c.From)
	out.Held = list[c.From:end]
	out.More = end < len(list)
	if !out.More {
		delete(v.snapshots, c.Voter)
	}
	return out
}

// held lists all grants.
func (v *Voter) heldKeys(now time.Time) []HeldKey {
	out := make([]HeldKey, 0, len(v.grants))
	for _, g := range v.grants {
		out = append(out, HeldKey{Key: g.key, Attempt: g.attempt, Body: g.body, Left: g.expires.Sub(now), Answer: g.answer})
	}
	return out
}

// Copied takes a part of the grants of another member and makes the voter warm
// once a majority of the group has sent all of theirs.
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

// merge takes one grant of another member. If two members hold different
// attempts, this voter's forgotten grant may have given either of them the
// majority, so the key is blocked unless an answer shows which one ran.
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

// Majority returns the least number of n voters that any two such numbers share one of.
func Majority(n int) int { return n/2 + 1 }
