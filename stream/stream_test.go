package stream_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/stream"
)

func TestOldAttemptsAreDropped(t *testing.T) {
	var a stream.Assembler
	a.StartAttempt(1)
	_, err := a.Accept(1, stream.Chunk{Index: 0, Text: "a"})
	assert.NilError(t, err)
	assert.Equal(t, a.StartAttempt(2), 1)
	got, err := a.Accept(1, stream.Chunk{Index: 1, Text: "old"})
	assert.NilError(t, err)
	assert.Equal(t, len(got), 0)
	got, err = a.Accept(2, stream.Chunk{Index: 1, Text: "b"})
	assert.NilError(t, err)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, a.Text(), "ab")
	assert.Equal(t, a.Dropped(), 1)
}

func TestGapIsBounded(t *testing.T) {
	var a stream.Assembler
	a.StartAttempt(1)
	var err error
	for i := 1; i <= stream.MaxBuffered+1 && err == nil; i++ {
		_, err = a.Accept(1, stream.Chunk{Index: i})
	}
	assert.ErrorIs(t, err, stream.ErrGap)
}

// TestEachTokenIsDeliveredOnce sends the chunks of several attempts late, twice
// and out of order. The caller must receive each token once and in order.
func TestEachTokenIsDeliveredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.SliceOfN(rapid.StringMatching("[a-z]{1,3}"), 1, 20).Draw(t, "reports")
		var a stream.Assembler
		var got strings.Builder
		ends := 0
		accept := func(attempt uint32, p stream.Chunk) {
			chunks, err := a.Accept(attempt, p)
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range chunks {
				got.WriteString(p.Text)
				if p.Finish != "" {
					ends++
				}
			}
		}
		chunk := func(i int) stream.Chunk {
			if i == len(tokens) {
				return stream.Chunk{Index: i, Finish: "stop"}
			}
			return stream.Chunk{Index: i, Text: tokens[i]}
		}
		last := uint32(rapid.IntRange(1, 3).Draw(t, "attempts"))
		for n := uint32(1); n <= last; n++ {
			from := a.StartAttempt(n)
			for _, i := range rapid.SliceOf(rapid.IntRange(0, len(tokens))).Draw(t, "order") {
				// Chunks of any earlier attempt may still arrive, with other tokens.
				if old := uint32(rapid.IntRange(0, int(n)).Draw(t, "from attempt")); old != n {
					accept(old, stream.Chunk{Index: i, Text: "WRONG"})
				} else if i >= from {
					accept(n, chunk(i))
				}
			}
		}
		for i := range len(tokens) + 1 {
			accept(last, chunk(i))
			accept(last, chunk(i))
		}
		if got.String() != strings.Join(tokens, "") || ends != 1 || a.Text() != got.String() {
			t.Fatalf("got %q with %d ends, want %q", got.String(), ends, strings.Join(tokens, ""))
		}
	})
}
