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

// sendPipelined sends requests by hand, one behind the other, over a connection of its own.
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

// TestInterruptedAnswerLooksTruncated wants an answer that broke off to look so, and nothing more on its
// connection, though the caller's next request is there already.
func TestInterruptedAnswerLooksTruncated(t *testing.T) { checkTruncated(t, "1.1", "q1", "q2") }

// TestInterruptedAnswerLooksTruncatedWithoutChunks wants an answer that broke off to look so to a caller that knows
// no chunks, and sends nothing more that would have its connection reset.
func TestInterruptedAnswerLooksTruncatedWithoutChunks(t *testing.T) { checkTruncated(t, "1.0", "q1") }

func checkTruncated(t *testing.T, version string, ids ...string) {
	t.Helper()
	s := newScriptedEngines(t, func(_ int, w http.ResponseWriter, r *http.Request) { interruptAfter(eventTexts(1, 3))(w, r) })
	br := bufio.NewReader(s.sendPipelined(version, "/review/1", ids...))
	resp, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	body, err := io.ReadAll(resp.Body)
	assert.Check(t, err != nil, "looks whole: %q", body)
	_, err = br.ReadByte()
	assert.Check(t, err != nil, "more behind it")
	assert.Check(t, len(s.receivedLastIDs()) == 1, "the second request was sent")
}

// extendTimeouts has the gateway's streams take longer than a caller may be slow.
func (h *harness) extendTimeouts() {
	old := h.gateway.table.Load()
	table := &route.Table{Version: old.Version + 1, Routes: slices.Clone(old.Routes), Services: old.Services, Limits: old.Limits}
	for i := range table.Routes {
		table.Routes[i].Timeout = 30 * time.Second
	}
	table.Index()
	h.gateway.setTable(table)
}

// TestStalledCallerEndsStream wants the stream of a caller that takes nothing any more to end, and not to
// go on at another engine, which would write behind the part that the caller may still take.
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
	assert.Assert(t, err != nil, "looks whole")
	rest := string(body)
	for n := 1; rest != ""; n++ {
		next := fmt.Sprintf("id: %d\ndata: %s\n\n", n, text)
		assert.Assert(t, strings.HasPrefix(rest, next) || strings.HasPrefix(next, rest), "event %d of %d bytes", n, len(body))
		rest = rest[min(len(next), len(rest)):]
	}
}

// TestLateEndOfStreamIsComplete wants an answer whole whose end comes late after its last event, as
// that of an engine which was held up: no caller was slow.
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
	assert.Check(t, !got.truncated, "cut after %q", got.body)
}
