package eventstream

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// checkPieces compares the blocks that a Reader finds in the pieces with the reference.
func checkPieces(t checker, pieces []string) {
	t.Helper()
	want, wantRest := reference(strings.Join(pieces, ""))
	var r Reader
	var blocks []found
	var passed strings.Builder
	fed, ready := 0, 0
	for _, piece := range pieces {
		got, _ := read(t, &r, piece)
		fed += len(piece)
		for i, b := range got {
			passed.WriteString(b.Raw)
			if b.Kind == LineEnd {
				assert.Equal(t, b, found{Kind: LineEnd, Raw: "\n"})
				assert.Equal(t, i, 0, "a line end that came with its CR")
				last := &blocks[len(blocks)-1]
				assert.Assert(t, strings.HasSuffix(last.Raw, "\r"), "%q", last.Raw)
				last.Raw += "\n"
				continue
			}
			blocks = append(blocks, b)
		}
		for ready < len(want) && want[ready].ready <= fed {
			ready++
		}
		assert.Equal(t, len(blocks), ready, "blocks after %d bytes of %q", fed, pieces)
	}
	for i := range want {
		assert.Equal(t, blocks[i], want[i].found, "block %d of %q", i, pieces)
	}
	assert.Equal(t, passed.String()+string(r.Incomplete()), strings.Join(pieces, ""))
	assert.Equal(t, string(r.Incomplete()), wantRest)
}

// TestBlocksDoNotDependOnPieces splits streams at arbitrary positions.
func TestBlocksDoNotDependOnPieces(t *testing.T) {
	long := x126 + "x"
	line := rapid.OneOf(
		rapid.SampledFrom([]string{"", "", "", ":", ":id: 1", "data", "data:", "data: id: 1", "data:\x00", "id", "id:", "id: 1",
			"id: 2\x00", "id:  3", "event: x", "retry: 10", bom, bom + "id: 4", long, "data: " + long + long, "\xEF\xBB", " id: 5"}),
		rapid.StringMatching(`(id|data|dat|event|)(:| |)[a-z: 0-9]{0,9}`),
	)
	end := rapid.SampledFrom([]string{"\n", "\r", "\r\n", "\n\r", "\r\r", "\r\n\r\n"})
	rapid.Check(t, func(t *rapid.T) {
		var stream strings.Builder
		stream.WriteString(rapid.SampledFrom([]string{"", bom, "\xEF", "\xEF\xBB"}).Draw(t, "first"))
		for range rapid.IntRange(0, 20).Draw(t, "lines") {
			stream.WriteString(line.Draw(t, "line"))
			stream.WriteString(end.Draw(t, "end"))
		}
		stream.WriteString(line.Draw(t, "rest"))
		text := stream.String()
		var pieces []string
		for len(text) > 0 {
			n := rapid.IntRange(1, len(text)).Draw(t, "piece")
			if rapid.Bool().Draw(t, "short") {
				n = min(n, 3)
			}
			pieces, text = append(pieces, text[:n]), text[n:]
		}
		checkPieces(t, pieces)
	})
}

// FuzzReader compares the Reader with the reference. cuts holds the length of each piece
// minus one, repeated; if it is empty, the stream comes in one piece.
func FuzzReader(f *testing.F) {
	for _, stream := range []string{
		"id: 1\ndata: id: 1\n\n", "id: 1\rdata: x\r\rid: 2\r\ndata: y\r\n\r\nid: 3\ndata: z\n\n", "data\n\r\n\r\r\n\n",
		"id: 4\nid: 5\x00\ndata\n\n", bom + "id: 1\ndata\n\n", bom + bom + "\n\n", "\xEF\xBB\n\n",
		":\n\n: id: 3\n\ndata\nid\n\nid:\n\ndata: a\ndata: b\n\nrest",
	} {
		for _, cuts := range []string{"", "\x00", "\x00\x01", "\x06", "\x0E\x01"} {
			f.Add([]byte(stream), []byte(cuts))
		}
	}
	f.Fuzz(func(t *testing.T, stream, cuts []byte) {
		if len(stream) > MaxBlockBytes {
			t.Skip("may be too long")
		}
		pieces := []string{string(stream)}
		if len(cuts) > 0 {
			pieces = pieces[:0]
		}
		for i := 0; len(cuts) > 0 && len(stream) > 0; i++ {
			n := min(int(cuts[i%len(cuts)])+1, len(stream))
			pieces, stream = append(pieces, string(stream[:n])), stream[n:]
		}
		checkPieces(t, pieces)
	})
}
