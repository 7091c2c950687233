package placement

import (
	"container/list"
	"hash/fnv"
)

// BlockBytes is the number of bytes of prompt text that each prefix hash adds.
const BlockBytes = 1024

// maxBlocks is the maximum number of prefix hashes of a prompt.
const maxBlocks = 64

// maxPrefixes is the maximum number of hashes that are kept for a server.
const maxPrefixes = 8192

// Prefixes returns the hashes of the prompt's prefixes, the shortest first. Each
// prefix is BlockBytes longer than the one before.
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

// prefixSet is an LRU set of prefix hashes.
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

// matchLength returns how many of the hashes are in the set. It assumes that a
// set with the hash of a prefix contains those of all shorter ones.
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
