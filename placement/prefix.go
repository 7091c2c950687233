package placement

import (
	"container/list"
	"hash/fnv"
)

// BlockBytes is the length of prompt text that one prefix hash adds.
const BlockBytes = 1024

// maxBlocks bounds the prefix hashes of one prompt.
const maxBlocks = 64

// maxPrefixes bounds the hashes kept for one server.
const maxPrefixes = 8192

// Prefixes returns the hashes of the prompt's prefixes, the shortest first;
// each covers BlockBytes more than the one before.
func Prefixes(prompt string) []uint64 {
	n := min(len(prompt)/BlockBytes, maxBlocks)
	out := make([]uint64, 0, n)
	h := fnv.New64a()
	for i := range n {
		_, _ = h.Write([]byte(prompt[i*BlockBytes : (i+1)*BlockBytes]))
		out = append(out, h.Sum64())
	}
	return out
}

// prefixSet is a bounded set of hashes; the least recently used goes first.
type prefixSet struct {
	max   int
	items map[uint64]*list.Element
	order *list.List
}

func newPrefixSet(limit int) *prefixSet {
	return &prefixSet{max: limit, items: map[uint64]*list.Element{}, order: list.New()}
}

func (p *prefixSet) add(h uint64) {
	if e, ok := p.items[h]; ok {
		p.order.MoveToFront(e)
		return
	}
	p.items[h] = p.order.PushFront(h)
	if p.order.Len() > p.max {
		last := p.order.Back()
		p.order.Remove(last)
		delete(p.items, last.Value.(uint64))
	}
}

// depth returns how many of the hashes are held, taking it that whoever holds
// a long prefix holds the shorter ones.
func (p *prefixSet) matchLength(hashes []uint64) int {
	low, high := 0, len(hashes)
	for low < high {
		mid := (low + high + 1) / 2
		if _, ok := p.items[hashes[mid-1]]; ok {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low
}
