package caller

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/stream"
)

// A caller that had received its complete answer and repeated the request with the same key
// got 409 instead of the answer, about once in a hundred times on a busy machine: the answer
// was returned with its last chunk, before a majority of the voters had recorded the outcome.
// Streamed answers were not affected, since they wait for the end of the flow.

// TestAnswerIsReturnedOnlyAfterFlowEnds guards against this: an answer in one response must not
// be returned before its flow has ended.
func TestAnswerIsReturnedOnlyAfterFlowEnds(t *testing.T) {
	chunks := []stream.Chunk{{Text: "a"}, {Text: "b"}, {Finish: "stop"}}
	ended := false
	next := func() (stream.Chunk, error) {
		if len(chunks) == 0 {
			ended = true
			return stream.Chunk{}, io.EOF
		}
		chunk := chunks[0]
		chunks = chunks[1:]
		return chunk, nil
	}
	text, finish, tokens, err := readAnswer(next)
	assert.NilError(t, err)
	assert.Assert(t, ended, "the flow has not ended")
	assert.Equal(t, text, "ab")
	assert.Equal(t, finish, "stop")
	assert.Equal(t, tokens, 2)
}

// TestBrokenFlowIsNoAnswer guards against a partial answer: an error of the flow, or its end
// before the last chunk, must be an error.
func TestBrokenFlowIsNoAnswer(t *testing.T) {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF} {
		chunks := 1
		_, _, _, err := readAnswer(func() (stream.Chunk, error) {
			if chunks--; chunks < 0 {
				return stream.Chunk{}, end
			}
			return stream.Chunk{Text: "a"}, nil
		})
		assert.ErrorIs(t, err, end)
	}
}
