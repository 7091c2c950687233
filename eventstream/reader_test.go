package eventstream

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// found is a copy of a Block that owns its bytes.
type found struct {
	Kind  Kind
	Raw   string
	HasID bool
	ID    string
}

// checker is a *testing.T or *rapid.T.
type checker interface {
	assert.TestingT
	Helper()
}

// read reads pieces and returns the blocks found and the incomplete rest. It overwrites
// each piece after reading, to detect references to it.
func read(t checker, r *Reader, pieces ...string) ([]found, string) {
	t.Helper()
	var all []found
	for _, text := range pieces {
		piece := []byte(text)
		for rest := piece; len(rest) > 0; {
			block, after, err := r.Next(rest)
			assert.NilError(t, err)
			assert.Assert(t, len(after) < len(rest), "nothing was read")
			rest = after
			if block.Kind != None {
				all = append(all, found{block.Kind, string(block.Raw), block.HasID, string(block.ID)})
			}
		}
		for i := range piece {
			piece[i] = 'X'
		}
	}
	return all, string(r.Incomplete())
}

// x126 yields lines that end near the bounds of a search window.
var x126 = strings.Repeat("x", searchWindow-2)

// TestBlocks reads streams that come in one piece.
func TestBlocks(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []found
		rest       string
	}{
		{name: "LF", text: "id: 1\ndata: x\n\n", want: []found{{Event, "id: 1\ndata: x\n\n", true, "1"}}},
		{name: "CR", text: "id: 1\rdata: x\r\r", want: []found{{Event, "id: 1\rdata: x\r\r", true, "1"}}},
		{name: "CR LF", text: "id: 1\r\ndata: x\r\n\r\n", want: []found{{Event, "id: 1\r\ndata: x\r\n\r\n", true, "1"}}},
		{name: "mixed", text: "id: 1\rdata: x\n\r\nid: 2\r\ndata: y\r\n\n", want: []found{
			{Event, "id: 1\rdata: x\n\r\n", true, "1"}, {Event, "id: 2\r\ndata: y\r\n\n", true, "2"}}},
		{name: "LF CR is a line end and a blank line", text: "data: x\n\rid: 2\n\n", want: []found{
			{Event, "data: x\n\r", false, ""}, {NoData, "id: 2\n\n", true, "2"}}},
		{name: "an ID within data", text: "id: 7\ndata: id: 1\ndata:id: 2\n\n", want: []found{
			{Event, "id: 7\ndata: id: 1\ndata:id: 2\n\n", true, "7"}}},
		{name: "an ID within a comment", text: ":id: 1\ndata: x\n\n", want: []found{{Event, ":id: 1\ndata: x\n\n", false, ""}}},
		{name: "no space, one, two", text: "id:1\n\nid: 1\n\nid:  1\n\n", want: []found{
			{NoData, "id:1\n\n", true, "1"}, {NoData, "id: 1\n\n", true, "1"}, {NoData, "id:  1\n\n", true, " 1"}}},
		{name: "space or tab elsewhere", text: "id : 1\n\n id: 1\n\nid:\t1 \n\n", want: []found{
			{NoData, "id : 1\n\n", false, ""}, {NoData, " id: 1\n\n", false, ""}, {NoData, "id:\t1 \n\n", true, "\t1 "}}},
		{name: "fields without a colon", text: "data\n\nid\n\n", want: []found{
			{Event, "data\n\n", false, ""}, {NoData, "id\n\n", true, ""}}},
		{name: "empty data is data", text: "data:\n\n", want: []found{{Event, "data:\n\n", false, ""}}},
		{name: "an empty ID", text: "id: 4\nid:\ndata:x\n\n", want: []found{{Event, "id: 4\nid:\ndata:x\n\n", true, ""}}},
		{name: "the last ID counts", text: "id: 4\ndata\nid: 5\n\n", want: []found{{Event, "id: 4\ndata\nid: 5\n\n", true, "5"}}},
		{name: "an ID with NUL", text: "id: 4\nid: 5\x00\ndata\n\nid: \x00\n\n", want: []found{
			{Event, "id: 4\nid: 5\x00\ndata\n\n", true, "4"}, {NoData, "id: \x00\n\n", false, ""}}},
		{name: "an ID with a colon", text: "id: 4:5\n\n", want: []found{{NoData, "id: 4:5\n\n", true, "4:5"}}},
		{name: "names are exact", text: "ID: 1\nDATA: x\nids: 2\ndatas: y\nretry: 3\n\n", want: []found{
			{NoData, "ID: 1\nDATA: x\nids: 2\ndatas: y\nretry: 3\n\n", false, ""}}},
		{name: "a version first", text: "ledgepin-weight-versions: 3\nid: 1\ndata: x\n\n", want: []found{
			{Event, "ledgepin-weight-versions: 3\nid: 1\ndata: x\n\n", true, "1"}}},
		{name: "comments", text: ":\n\n: x\ndata: y\n\n", want: []found{
			{NoData, ":\n\n", false, ""}, {Event, ": x\ndata: y\n\n", false, ""}}},
		{name: "blank lines", text: "\n\r\n\r\r\n", want: []found{
			{NoData, "\n", false, ""}, {NoData, "\r\n", false, ""}, {NoData, "\r", false, ""}, {NoData, "\r\n", false, ""}}},
		{name: "a mark", text: bom + "id: 1\ndata\n\n" + bom + "id: 2\n\n", want: []found{
			{BOM, bom, false, ""}, {Event, "id: 1\ndata\n\n", true, "1"}, {NoData, bom + "id: 2\n\n", false, ""}}},
		{name: "a bom and a blank line", text: bom + "\r\ndata\n\n", want: []found{
			{BOM, bom, false, ""}, {NoData, "\r\n", false, ""}, {Event, "data\n\n", false, ""}}},
		{name: "two marks", text: bom + bom + "\n\n", want: []found{
			{BOM, bom, false, ""}, {NoData, bom + "\n\n", false, ""}}},
		{name: "half a mark", text: "\xEF\xBBdata\n\n", want: []found{{NoData, "\xEF\xBBdata\n\n", false, ""}}},
		{name: "half a bom is a line", text: "\xEF\n\n", want: []found{{NoData, "\xEF\n\n", false, ""}}},
		{name: "long lines", text: "data" + x126 + ":\r\ndata:" + x126 + x126 + "\r" + x126 + "xx\nid: 1\r\r", want: []found{
			{Event, "data" + x126 + ":\r\ndata:" + x126 + x126 + "\r" + x126 + "xx\nid: 1\r\r", true, "1"}}},
		{name: "incomplete block", text: "data: x\n\nid: 2\ndata: y\n", want: []found{{Event, "data: x\n\n", false, ""}}, rest: "id: 2\ndata: y\n"},
		{name: "no line", text: "data: x", rest: "data: x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r Reader
			got, rest := read(t, &r, c.text)
			assert.DeepEqual(t, got, c.want)
			assert.Equal(t, rest, c.rest)
		})
	}
}

// TestPieces reads streams that are split at critical positions.
func TestPieces(t *testing.T) {
	for _, c := range []struct {
		name   string
		pieces []string
		want   []found
		rest   string
	}{
		{name: "complete at the CR", pieces: []string{"data\r\r"}, want: []found{{Event, "data\r\r", false, ""}}},
		{name: "an LF of the CR before", pieces: []string{"data\r\n\r", "\ndata\n\n"}, want: []found{
			{Event, "data\r\n\r", false, ""}, {LineEnd, "\n", false, ""}, {Event, "data\n\n", false, ""}}},
		{name: "an LF of its own", pieces: []string{"data\r\r", "\n\n"}, want: []found{
			{Event, "data\r\r", false, ""}, {LineEnd, "\n", false, ""}, {NoData, "\n", false, ""}}},
		{name: "within a block", pieces: []string{"id: 1\r", "\ndata\r", "\n\r", "\n"}, want: []found{
			{Event, "id: 1\r\ndata\r\n\r", true, "1"}, {LineEnd, "\n", false, ""}}},
		{name: "within a block, nothing more", pieces: []string{"data\r", "\n"}, rest: "data\r\n"},
		{name: "a CR after a CR", pieces: []string{"data\r", "\r", "data\n", "\n"}, want: []found{
			{Event, "data\r\r", false, ""}, {Event, "data\n\n", false, ""}}},
		{name: "empty pieces", pieces: []string{"", "data\r", "", "\n\r", "", "\n"}, want: []found{
			{Event, "data\r\n\r", false, ""}, {LineEnd, "\n", false, ""}}},
		{name: "a cut name", pieces: []string{"i", "d", ": 1", "2\nda", "ta\n\nid"}, want: []found{
			{Event, "id: 12\ndata\n\n", true, "12"}}, rest: "id"},
		{name: "a cut mark", pieces: []string{"\xEF", "\xBB", "\xBFid: 1\n\n"}, want: []found{
			{BOM, bom, false, ""}, {NoData, "id: 1\n\n", true, "1"}}},
		{name: "a cut half mark", pieces: []string{"\xEF", "\xBB", "\n\n"}, want: []found{{NoData, "\xEF\xBB\n\n", false, ""}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r Reader
			got, rest := read(t, &r, c.pieces...)
			assert.DeepEqual(t, got, c.want)
			assert.Equal(t, rest, c.rest)
		})
	}
}

// TestBlockLengthLimit reads a block of the maximum length, and one that is a byte
// longer, complete and in pieces.
func TestBlockLengthLimit(t *testing.T) {
	for _, end := range []string{"\n\n", "\r\r", "\n\r\n"} {
		maxBytes := MaxBlockBytes - len(strings.TrimSuffix(end, "\r\n")) - strings.Count(end, "\r\n")
		for _, size := range []int{1, 1000, MaxBlockBytes * 2} {
			var r Reader
			got, _ := read(t, &r, splitEvery("data"+strings.Repeat("x", maxBytes-len("data"))+end, size)...)
			assert.Equal(t, got[0].Raw[:4], "data")
			assert.Assert(t, len(got[0].Raw) >= MaxBlockBytes)

			r.Reset()
			err := feed(&r, splitEvery(strings.Repeat("x", maxBytes+1)+end, size))
			var tooLong *TooLongError
			assert.Assert(t, errors.As(err, &tooLong), "end %q in pieces of %d", end, size)
			assert.Equal(t, tooLong.Limit, MaxBlockBytes)
			_, _, again := r.Next([]byte("data\n\n"))
			assert.Equal(t, again, err)
			assert.Equal(t, len(r.Incomplete()), 0)
		}
	}
}

// TestUnfinishedBlockMemoryIsBounded feeds lines that never end a block: the buffer must
// not exceed twice the maximum length of a block.
func TestUnfinishedBlockMemoryIsBounded(t *testing.T) {
	var r Reader
	err := feed(&r, splitEvery(strings.Repeat("data: x\n", MaxBlockBytes/8+1), 100))
	assert.ErrorContains(t, err, fmt.Sprint(MaxBlockBytes, " bytes"))
	assert.Assert(t, cap(r.partial) <= 2*MaxBlockBytes, "buffer of %d bytes", cap(r.partial))
}

// TestReset reads another stream after one that was interrupted.
func TestReset(t *testing.T) {
	var r Reader
	read(t, &r, "data\r\n\r", "\nid: 1\r")
	r.Reset()
	got, rest := read(t, &r, "\ndata\r\r")
	assert.DeepEqual(t, got, []found{{NoData, "\n", false, ""}, {Event, "data\r\r", false, ""}})
	assert.Equal(t, rest, "")
	r.Reset()
	got, _ = read(t, &r, "\n"+bom+"data\n\n")
	assert.DeepEqual(t, got, []found{{NoData, "\n", false, ""}, {NoData, bom + "data\n\n", false, ""}})
}

func feed(r *Reader, pieces []string) error {
	for _, piece := range pieces {
		for rest := []byte(piece); len(rest) > 0; {
			var err error
			if _, rest, err = r.Next(rest); err != nil {
				return err
			}
		}
	}
	return nil
}

func splitEvery(text string, size int) []string {
	var pieces []string
	for len(text) > size {
		pieces, text = append(pieces, text[:size]), text[size:]
	}
	return append(pieces, text)
}
