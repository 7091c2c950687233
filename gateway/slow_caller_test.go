package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/route"
)

// sendPipelined sends requests without an HTTP client, one directly after the other, over a
// connection of its own.
func (h *harness) sendPipelined(version, path string, ids ...string) net.Conn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.frontend.Listener.Addr().String())
	assert.NilError(h.t, err)
	h.t.Cleanup(func() { _ = c.Close() })
	headers := protocol.Headers
	for _, id := range ids {
		_, err := fmt.Fprintf(c, "POST %s HTTP/%s\r\nHost: h\r\nConnection: keep-alive\r\n%s: %s\r\n%s: 1000,500\r\n%s: 400\r\nContent-Length: 1\r\n\r\nx",
			path, version, headers.RequestID, id, headers.Tokens, headers.LengthHint)
		assert.NilError(h.t, err)
	}
	return c
}

// TestInterruptedAnswerLooksTruncated checks that an interrupted answer looks truncated and that
// nothing follows it on its connection, although the caller's next request has already arrived.
func TestInterruptedAnswerLooksTruncated(t *testing.T) { checkTruncated(t, "1.1", "q1", "q2") }

// TestInterruptedAnswerLooksTruncatedWithoutChunks checks that an interrupted answer looks
// truncated to a caller that does not support chunks, and sends nothing more that would have its
// connection reset.
func TestInterruptedAnswerLooksTruncatedWithoutChunks(t *testing.T) { checkTruncated(t, "1.0", "q1") }

func checkTruncated(t *testing.T, version string, ids ...string) {
	t.Helper()
	s := newScriptedEngines(t, func(_ int, w http.ResponseWriter, r *http.Request) { interruptAfter(eventTexts(1, 3))(w, r) })
	br := bufio.NewReader(s.sendPipelined(version, "/review/1", ids...))
	resp, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	body, err := io.ReadAll(resp.Body)
	assert.Check(t, err != nil, "looks complete: %q", body)
	_, err = br.ReadByte()
	assert.Check(t, err != nil, "more data after the answer")
	assert.Check(t, len(s.receivedLastIDs()) == 1, "the second request was sent")
}

// extendTimeouts allows streams of the gateway to take longer than a caller may read nothing.
func (h *harness) extendTimeouts() {
	old := h.gateway.table.Load()
	table := &route.Table{Version: old.Version + 1, Routes: slices.Clone(old.Routes), Services: old.Services, Limits: old.Limits}
	for i := range table.Routes {
		table.Routes[i].Timeout = 30 * time.Second
	}
	table.Index()
	h.gateway.setTable(table)
}

// TestStalledCallerEndsStream checks that the stream of a caller that stops reading ends, and does
// not continue at another engine, which would write after the part that the caller may still read.
func TestStalledCallerEndsStream(t *testing.T) {
	t.Parallel()
	const last = 400
	text := strings.Repeat("x", 64<<10)
	s := newScriptedEngines(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		writeStreamHead(w, r)
		for n := lastEventOf(r) + 1; n <= last; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, text); err != nil {
				return
			}
		}
	})
	s.extendTimeouts()
	c := s.sendPipelined("1.1", "/desk/1", "q1")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(s.receivedLastIDs()) == 0 || s.gateway.Active() > 0 {
			return poll.Continue("the gateway still writes")
		}
		return poll.Success()
	}, poll.WithTimeout(callerTimeout+10*time.Second))
	assert.Equal(t, len(s.receivedLastIDs()), 1, "sent again")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.Assert(t, err != nil, "looks complete")
	rest := string(body)
	for n := 1; rest != ""; n++ {
		next := fmt.Sprintf("id: %d\ndata: %s\n\n", n, text)
		assert.Assert(t, strings.HasPrefix(rest, next) || strings.HasPrefix(next, rest), "event %d of %d bytes", n, len(body))
		rest = rest[min(len(next), len(rest)):]
	}
}

// TestLateEndOfStreamIsComplete checks that an answer is complete if its end arrives long after its
// last event, as from an engine that was delayed: no caller was slow.
func TestLateEndOfStreamIsComplete(t *testing.T) {
	t.Parallel()
	s := newScriptedEngines(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		writeStreamHead(w, r)
		writeAndFlush(w, eventTexts(1, 3))
		time.Sleep(callerTimeout + 200*time.Millisecond)
	})
	s.extendTimeouts()
	got := s.send("POST", "/review/1", "q1", "x", workHeaders)
	assert.Equal(t, got.status, 200)
	assert.Check(t, orderError(got, 0, 3) == "", orderError(got, 0, 3))
	assert.Check(t, !got.truncated, "truncated after %q", got.body)
}
