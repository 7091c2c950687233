package poison

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// A prompt consists of parts, which other prompts may have too. One part may end each server that
// begins to generate on it, whatever else the prompts with it contain. A part is suspected for an
// ending if a run with it had just begun, and cleared of it if another run with it goes on at a
// server that is still running. It is blocked once enough servers have ended one after the other.
//
// All parts of a poisonous prompt are suspected alike, and so are those of other runs that had just
// begun. So a part is not blamed for an ending that another part explains better, and a blocked
// part only blocks prompts that also have all the parts that were in each of its runs.

const (
	// repeatedThreshold is the number of successive endings of fewer than blockThreshold servers from
	// which on a part is blocked all the same: a service may have no more.
	repeatedThreshold = 5
	// relevantEndings is the number of successive endings from which on gateways are told of a part.
	relevantEndings = 2
	// minTrialDelay is the time from the last ending to the first trial of a blocked part. Each
	// further ending multiplies it by trialDelayFactor, up to maxTrialDelay.
	minTrialDelay    = 15 * time.Second
	maxTrialDelay    = 10 * time.Minute
	trialDelayFactor = 4
)

// Survival records that a run went on although a server had ended under another run with the same
// part of a prompt, so that the part is cleared of that ending.
type Survival struct {
	Part   Digest `cbor:"1,keyasint"`
	Server string `cbor:"2,keyasint"`
	// Age is the time since then.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// Block is a part of prompts that is blocked.
type Block struct {
	Part Digest
	// With are all parts that were in each run of the part under which a server ended, in order. A
	// prompt is blocked only if it has all of them.
	With []Digest
	// Endings is the number of endings that count, one after the other, and Servers that of all
	// servers that ended under the part.
	Endings, Servers int
	// Until is when the part may be tried again.
	Until time.Time
}

// blocks reports whether a prompt with these parts, in order, is blocked.
func (b *Block) blocks(parts []Digest) bool {
	return !slices.ContainsFunc(b.With, func(d Digest) bool { return !contains(parts, d) })
}

// part is what is known about a part of prompts.
type part struct {
	// contents are those that have the part.
	contents map[Digest]*entry
	// survived are the servers of whose endings the part is cleared, with the time.
	survived map[string]time.Time
	// change is the number of the table's last change of survived.
	change uint64
	// relevant is set once gateways are told of the part.
	relevant bool
}

func compare(a, b Digest) int { return bytes.Compare(a[:], b[:]) }

// contains reports whether a sorted list contains a digest.
func contains(list []Digest, d Digest) bool {
	_, found := slices.BinarySearchFunc(list, d, compare)
	return found
}

// SortedParts returns the distinct digests of a list, in order.
func SortedParts(list []Digest) []Digest {
	out := slices.Clone(list)
	slices.SortFunc(out, compare)
	return slices.Compact(out)
}

// has reports whether the content is known to have a part.
func (e *entry) has(d Digest) bool { return contains(e.parts, d) }

func (t *Table) part(d Digest) *part {
	p := t.parts[d]
	if p == nil {
		p = &part{contents: map[Digest]*entry{}, survived: map[string]time.Time{}}
		t.parts[d] = p
	}
	return p
}

// addParts adds parts to a content, and reports whether any of them was new.
func (t *Table) addParts(content Digest, e *entry, list []Digest) bool {
	merged := SortedParts(append(slices.Clone(list), e.parts...))
	if len(merged) == len(e.parts) {
		return false
	}
	t.partCount += len(merged) - len(e.parts)
	e.parts = merged
	for _, d := range merged {
		t.part(d).contents[content] = e
	}
	return true
}

// removeParts removes a content from its parts.
func (t *Table) removeParts(content Digest, e *entry) {
	t.partCount -= len(e.parts)
	for _, d := range e.parts {
		delete(t.parts[d].contents, content)
		t.removeUnused(d)
	}
	t.judged = false
}

func (t *Table) removeUnused(d Digest) {
	p := t.parts[d]
	if len(p.contents) > 0 || len(p.survived) > 0 {
		return
	}
	if p.relevant {
		t.relevantCount--
	}
	delete(t.parts, d)
}

func (t *Table) sweepParts(now time.Time) {
	for d, p := range t.parts {
		before := len(p.survived)
		maps.DeleteFunc(p.survived, func(_ string, at time.Time) bool { return now.Sub(at) >= endingTTL })
		if len(p.survived) < before {
			t.judged = false
		}
		t.removeUnused(d)
	}
}

// HasRelevantParts reports whether runs that go on have to be recorded.
func (t *Table) HasRelevantParts() bool { return t.relevantCount > 0 }

func (t *Table) relevant(d Digest) bool {
	p := t.parts[d]
	return p != nil && p.relevant
}

// endings returns the endings of servers under runs with the part that had just begun, whether or not
// the part is cleared of them.
func (p *part) endings() []ending {
	servers := map[string]ending{}
	for _, e := range p.contents {
		for server, x := range e.endings {
			if x.underway {
				continue
			}
			if old, known := servers[server]; known {
				x.at, x.sent = earliest(old.at, x.at), latest(old.sent, x.sent)
			}
			servers[server] = x
		}
	}
	return slices.Collect(maps.Values(servers))
}

// updateRelevance marks parts under which several servers have ended one after the other, and all
// that is known about them as changed. Parts that are cleared of these endings count too: whoever is
// told of the endings has to know that.
func (t *Table) updateRelevance(touched map[Digest]bool) {
	for d := range touched {
		p := t.parts[d]
		if p == nil || p.relevant {
			continue
		}
		if n, _ := successive(p.endings()); n < relevantEndings {
			continue
		}
		p.relevant = true
		t.relevantCount++
		for _, e := range p.contents {
			t.markChanged(e)
		}
		t.markSurvived(p)
	}
}

func (t *Table) markSurvived(p *part) {
	t.changes++
	p.change = t.changes
	t.judged = false
}

// RecordSurvival records that a run of a prompt with these parts goes on, or has completed, at a
// server that is still running. It clears the parts of all endings known so far, and reports whether
// that has changed anything.
func (t *Table) RecordSurvival(now time.Time, parts []Digest) bool {
	changed := false
	for _, d := range parts {
		p := t.parts[d]
		if p == nil || !p.relevant {
			continue
		}
		before := len(p.survived)
		for _, e := range p.contents {
			for server, x := range e.endings {
				if _, known := p.survived[server]; !known && !x.underway && !x.excused {
					p.survived[server] = now
				}
			}
		}
		if len(p.survived) > before {
			t.markSurvived(p)
			changed = true
		}
	}
	return changed
}

// MergeSurvivals adds the survivals of another table.
func (t *Table) MergeSurvivals(now time.Time, list []Survival) {
	for _, s := range list {
		if s.Age >= endingTTL {
			continue
		}
		p, at := t.part(s.Part), now.Add(-s.Age)
		if old, known := p.survived[s.Server]; known && !at.Before(old) {
			continue
		}
		p.survived[s.Server] = at
		t.markSurvived(p)
	}
}

// SurvivalsSince returns the survivals of the parts that have changed after change; only those of
// which gateways are told if relevant is set.
func (t *Table) SurvivalsSince(now time.Time, change uint64, relevant bool) []Survival {
	var out []Survival
	if change == t.changes {
		return nil
	}
	for d, p := range t.parts {
		if p.change <= change || relevant && !p.relevant {
			continue
		}
		for _, server := range slices.Sorted(maps.Keys(p.survived)) {
			out = append(out, Survival{Part: d, Server: server, Age: now.Sub(p.survived[server])})
		}
	}
	return out
}

// suspicion is what speaks against a part: the runs with it that had just begun when their servers
// ended.
type suspicion struct {
	part    Digest
	servers map[string]ending
	// shared are the servers that another part explains, which none of the runs there has.
	shared map[string]bool
	runs   int
	// with are the parts that all runs have, in order.
	with []Digest
}

// count returns how many successive endings count against the part. Of those that another part
// explains, two count as one: either part may have caused them.
func (s *suspicion) count() int {
	all, _ := successive(slices.Collect(maps.Values(s.servers)))
	var own []ending
	for server, x := range s.servers {
		if !s.shared[server] {
			own = append(own, x)
		}
	}
	n, _ := successive(own)
	return n + (all-n)/2
}

// threshold returns how many successive endings block the part. A server may end again and again for a
// cause of its own: only endings of different servers are hardly chance.
func (s *suspicion) threshold() int {
	names := map[string]bool{}
	for server, x := range s.servers {
		names[cmp.Or(x.name, server)] = true
	}
	if len(names) < blockThreshold {
		return repeatedThreshold
	}
	return blockThreshold
}

// suspect returns the suspicion against a part, without the servers that ended under a run which also
// had the part that explains the ending.
func (t *Table) suspect(d Digest) *suspicion {
	p := t.parts[d]
	s := &suspicion{part: d, servers: map[string]ending{}, shared: map[string]bool{}}
	explained := map[string]bool{}
	for _, e := range p.contents {
		for server := range e.endings {
			if cause, known := t.explained[server]; known && e.has(cause) {
				explained[server] = true
			}
		}
	}
	for _, e := range p.contents {
		for server, x := range e.endings {
			if _, survived := p.survived[server]; survived || x.underway || x.excused || explained[server] {
				continue
			}
			if _, known := t.explained[server]; known {
				s.shared[server] = true
			}
			if s.runs == 0 {
				s.with = e.parts
			} else {
				s.with = slices.DeleteFunc(slices.Clone(s.with), func(d Digest) bool { return !e.has(d) })
			}
			s.runs++
			if old, known := s.servers[server]; known {
				// The newest of several runs may have ended the server.
				x.at, x.sent = earliest(old.at, x.at), latest(old.sent, x.sent)
			}
			s.servers[server] = x
		}
	}
	return s
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// judge determines which parts are blocked, and which servers ended because of them. The part with
// the most servers comes first. The endings that it explains count less for the parts after it.
func (t *Table) judge() {
	if t.judged {
		return
	}
	t.judged = true
	t.blocks, t.explained = map[Digest]*Block{}, map[string]Digest{}
	var candidates []Digest
	for d, p := range t.parts {
		if p.relevant {
			candidates = append(candidates, d)
		}
	}
	for {
		var list []*suspicion
		for _, d := range candidates {
			if s := t.suspect(d); s.count() >= s.threshold() {
				list = append(list, s)
			}
		}
		if len(list) == 0 {
			return
		}
		s := mostSuspect(list)
		t.block(s)
		candidates = candidates[:0]
		for _, other := range list {
			if other.part != s.part {
				candidates = append(candidates, other.part)
			}
		}
	}
}

// moreSpecificShare is the share of a part's servers that more specific parts must explain to be blamed
// instead.
const moreSpecificShare = 0.8

// mostSuspect returns the part with the most servers and, among equals, the fewest runs; or a more
// specific part, if those explain nearly all of its servers.
func mostSuspect(list []*suspicion) *suspicion {
	slices.SortFunc(list, func(a, b *suspicion) int {
		return cmp.Or(len(b.servers)-len(a.servers), a.runs-b.runs, compare(a.part, b.part))
	})
	out := list[0]
	for specific := moreSpecific(list, out); specific != nil; specific = moreSpecific(list, out) {
		out = specific
	}
	return out
}

// moreSpecific returns the first of the parts that never come without a given one, if together they
// explain nearly all of its servers.
func moreSpecific(list []*suspicion, than *suspicion) *suspicion {
	var first *suspicion
	explained := map[string]bool{}
	for _, s := range list {
		if !contains(s.with, than.part) || contains(than.with, s.part) {
			continue
		}
		if first == nil {
			first = s
		}
		for server := range s.servers {
			explained[server] = true
		}
	}
	if float64(len(explained)) < moreSpecificShare*float64(len(than.servers)) {
		return nil
	}
	return first
}

// block blocks a part.
func (t *Table) block(s *suspicion) {
	n, newest := s.count(), time.Time{}
	for server, x := range s.servers {
		if !s.shared[server] {
			t.explained[server] = s.part
		}
		newest = latest(newest, x.at)
	}
	t.blocks[s.part] = &Block{Part: s.part, With: s.with, Endings: n, Servers: len(s.servers), Until: newest.Add(trialDelay(n - s.threshold()))}
}

// trialDelay returns the time from the last ending to the next trial, after a number of endings beyond
// those that blocked the part.
func trialDelay(beyond int) time.Duration {
	out := minTrialDelay
	for range beyond {
		if out *= trialDelayFactor; out >= maxTrialDelay {
			return maxTrialDelay
		}
	}
	return out
}

// Blocks returns the blocked parts, in order.
func (t *Table) Blocks() []Block {
	t.judge()
	out := make([]Block, 0, len(t.blocks))
	for _, d := range slices.SortedFunc(maps.Keys(t.blocks), compare) {
		out = append(out, *t.blocks[d])
	}
	return out
}

// HasBlocks reports whether any part is blocked.
func (t *Table) HasBlocks() bool {
	t.judge()
	return len(t.blocks) > 0
}

// BlocksOf returns the blocked parts because of which a prompt with these parts, in order, is
// refused.
func (t *Table) BlocksOf(parts []Digest) []Block {
	t.judge()
	var out []Block
	for _, d := range parts {
		if b := t.blocks[d]; b != nil && b.blocks(parts) {
			out = append(out, *b)
		}
	}
	return out
}
