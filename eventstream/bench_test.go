package eventstream

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// oneEvent is an event as engines send it.
var oneEvent = []byte("id: 4711\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\" event\"}}]}\n\n")

// TestNoAllocation checks that reading and checking events allocates no memory, both for
// events in one piece and for events split in two.
func TestNoAllocation(t *testing.T) {
	var r Reader
	var s Sequence
	take := func(piece []byte) {
		for len(piece) > 0 {
			block, rest, err := r.Next(piece)
			if err != nil || block.Kind == Event && !s.Check(block).Passes() {
				t.Fatal("not passed")
			}
			piece = rest
		}
	}
	event := append([]byte(nil), oneEvent...)
	number := event[4:8]
	for _, at := range []int{len(event), 6} {
		assert.Equal(t, testing.AllocsPerRun(100, func() {
			take(event[:at])
			take(event[at:])
			for i := 3; ; i-- {
				if number[i]++; number[i] <= '9' {
					break
				}
				number[i] = '0'
			}
		}), 0.0)
	}
}

func BenchmarkOnePiece(b *testing.B) {
	b.ReportAllocs()
	b.SetBytes(int64(len(oneEvent)))
	var r Reader
	for b.Loop() {
		if block, _, _ := r.Next(oneEvent); block.Kind != Event {
			b.Fatal(block.Kind)
		}
	}
}

func BenchmarkSplitInTwo(b *testing.B) {
	b.ReportAllocs()
	b.SetBytes(int64(len(oneEvent)))
	var r Reader
	for b.Loop() {
		_, _, _ = r.Next(oneEvent[:6])
		if block, _, _ := r.Next(oneEvent[6:]); block.Kind != Event {
			b.Fatal(block.Kind)
		}
	}
}

// BenchmarkByteByByte reads a block of 1 KiB and one of 64 KiB in pieces of one byte; the
// time per byte must not depend on the size.
func BenchmarkByteByByte(b *testing.B) {
	for name, size := range map[string]int{"1KiB": 1 << 10, "64KiB": 64 << 10} {
		b.Run(name, func(b *testing.B) {
			text := append(bytes.Repeat([]byte("data: x\r"), size/8), '\r')
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			var r Reader
			for b.Loop() {
				for i := range text {
					_, _, _ = r.Next(text[i : i+1])
				}
			}
		})
	}
}

func BenchmarkCheck(b *testing.B) {
	b.ReportAllocs()
	var s Sequence
	id := []byte("100000000000")
	for b.Loop() {
		for i := len(id) - 1; ; i-- {
			if id[i]++; id[i] <= '9' {
				break
			}
			id[i] = '0'
		}
		if v := s.Check(Block{Kind: Event, HasID: true, ID: id}); v.Decision != Pass {
			b.Fatal(v)
		}
	}
}
