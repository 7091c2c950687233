package wire_test

import (
	"fmt"
	"testing"

	"github.com/ledgepin/ledgepin/wire"
)

// typicalMessages returns messages that a busy link carries.
func typicalMessages() map[string]*wire.Message {
	chunk := &wire.Message{Chunk: &wire.Chunk{}}
	chunk.Chunk.Req, chunk.Chunk.Attempt, chunk.Chunk.Index, chunk.Chunk.Text = "0123456789abcdef01234567", 1, 100, " token"
	loads := &wire.Loads{Gateways: 21, Whole: true}
	for i := range 24 {
		loads.List = append(loads.List, wire.EngineLoad{Server: fmt.Sprintf("z1/engine-%d#1764735591", i), Tokens: 30_000 + i, Prefill: 900, Runs: 12, Held: 14_000, Good: 40})
	}
	return map[string]*wire.Message{
		"chunk": chunk, "heartbeat": {Heartbeat: &wire.Heartbeat{Revision: 9}}, "loads": {Loads: loads},
	}
}

func BenchmarkUnmarshal(b *testing.B) {
	for name, m := range typicalMessages() {
		frame, err := wire.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := wire.Unmarshal(frame, "x"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRead decodes with the decoder of a link, which looks for unknown fields.
func BenchmarkRead(b *testing.B) {
	for name, m := range typicalMessages() {
		frame, err := wire.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		read := wire.NewReader()
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, _, _, err := read(frame); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
