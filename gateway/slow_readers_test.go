package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/membudget"
)

// readerBuffer is the receive buffer of a slow reader, in bytes.
const readerBuffer = 32 << 10

// startSlowReaders has n callers request large answers of a plain service and read nothing of them.
func (h *harness) startSlowReaders(t testing.TB, n, answer int) []net.Conn {
	t.Helper()
	body := strings.Repeat("x", answer)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(protocol.Headers.RequestID, r.Header.Get(protocol.Headers.RequestID))
		w.Header().Set(protocol.Headers.Signature, "s")
		_, _ = io.WriteString(w, body)
	}))
	server.Config.ConnContext = ConnContext // else the kernel buffers as much on that side
	server.Start()
	t.Cleanup(server.Close)
	h.register("plain", "large", strings.TrimPrefix(server.URL, "http://"), "")
	h.setTimeout("rates", time.Minute)
	h.setMaxConnections("plain", 4*n)
	conns := make([]net.Conn, n)
	for i := range conns {
		c, err := net.Dial("tcp", h.frontend.Listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(readerBuffer))
		_, err = fmt.Fprintf(c, "GET /rates/%d HTTP/1.1\r\nHost: h\r\n%s: slow%d\r\n\r\n", i, protocol.Headers.RequestID, i)
		assert.NilError(t, err)
		conns[i] = c
	}
	return conns
}

// BenchmarkSlowReaders measures the memory of a gateway whose callers read nothing of large
// answers.
func BenchmarkSlowReaders(b *testing.B) {
	const readers, answer = 500, 1 << 20
	for range b.N {
		h := newHarness(b)
		h.gateway.memory = membudget.New(membudget.Limits{Total: 54 << 20, Request: 20 << 20}, callerTimeout, clock.VM.Now)
		process, kernel := heapBytes(), kernelBufferBytes(b)
		h.startSlowReaders(b, readers, answer)
		time.Sleep(callerTimeout / 2)
		b.ReportMetric(float64(heapBytes()-process)/1e6, "MB-process")
		b.ReportMetric(float64(kernelBufferBytes(b)-kernel)/1e6, "MB-kernel")
		h.frontend.CloseClientConnections()
	}
}

// heapBytes returns the bytes in use after a garbage collection.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}

// kernelBufferBytes returns the bytes that the kernel buffers for all TCP connections of the VM.
func kernelBufferBytes(t testing.TB) int64 {
	t.Helper()
	stat, err := os.ReadFile("/proc/net/sockstat")
	assert.NilError(t, err)
	for line := range strings.Lines(string(stat)) {
		if _, pages, ok := strings.Cut(line, " mem "); ok && strings.HasPrefix(line, "TCP:") {
			n, err := strconv.ParseInt(strings.TrimSpace(pages), 10, 64)
			assert.NilError(t, err)
			return n * int64(os.Getpagesize())
		}
	}
	t.Fatal("no TCP line")
	return 0
}

// limitMemory limits the memory of the gateway to a few answers of the given size.
func (h *harness) limitMemory(answer int64) membudget.Limits {
	limits := membudget.Limits{Total: 8 * answer, Organisation: 8 * answer, Request: 2 * answer}
	h.gateway.memory = membudget.New(limits, callerTimeout, clock.VM.Now)
	return limits
}

// TestSlowReadersStayWithinMemoryLimit checks that the answers for callers that read nothing never
// use more memory than the limit, and that all of it is released.
func TestSlowReadersStayWithinMemoryLimit(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	limits := h.limitMemory(1 << 20)
	conns := h.startSlowReaders(t, 40, 1<<20)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		held := h.gateway.memory.Held()
		assert.Assert(t, held <= limits.Total, "%d bytes are held", held)
		if held < limits.Total/2 {
			return poll.Continue("%d bytes are held", held)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	for range 50 {
		assert.Assert(t, h.gateway.memory.Held() <= limits.Total)
		time.Sleep(10 * time.Millisecond)
	}
	for _, c := range conns {
		_ = c.Close()
	}
	h.waitIdle(callerTimeout + 30*time.Second)
	assert.Equal(t, h.gateway.memory.Held(), int64(0))
}

// TestReaderIsServedAmongSlowReaders checks that a caller that reads gets its answer while others,
// each of which reads just enough not to be disconnected, use all of the memory.
func TestReaderIsServedAmongSlowReaders(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	const answer = 6 << 20
	h.limitMemory(answer)
	for _, c := range h.startSlowReaders(t, 10, answer) {
		go func() {
			some := make([]byte, 16<<10)
			for {
				if _, err := c.Read(some); err != nil {
					return
				}
				time.Sleep(500 * time.Millisecond) // minutes for the complete answer
			}
		}()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.gateway.memory.Waits() == 0 {
			return poll.Continue("no request waits")
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second) // the others have read 16 MB of 60 by then
	defer cancel()
	got := h.sendWith(ctx, "GET", "/rates/1", "reader", "", nil)
	assert.Equal(t, got.status, 200)
	assert.Equal(t, len(got.body), answer)
	assert.Assert(t, !got.truncated)
}

// TestRequestWithoutMemoryIsRefusedAsNotRun checks that a request for whose body there is no memory
// is refused at once, as not run, and accepted once there is memory.
func TestRequestWithoutMemoryIsRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	s := h.add("plain", "s1", "")
	limits := h.limitMemory(1 << 20)
	var fill []*membudget.Account
	for range (limits.Total - limits.Request) / limits.Request {
		a := h.gateway.memory.Open("", func() {})
		assert.Assert(t, a.TryReserve(limits.Request))
		fill = append(fill, a)
	}
	for name, body := range map[string]io.Reader{"known length": strings.NewReader("x"), "chunked": io.MultiReader(strings.NewReader("x"))} {
		req, err := http.NewRequestWithContext(t.Context(), "POST", h.frontend.URL+"/rates/1", body)
		assert.NilError(t, err)
		req.Host = "h"
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err, name)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, name)
		assert.Equal(t, resp.Header.Get("Retry-After"), "1.00", name)
		assert.NilError(t, resp.Body.Close())
	}
	got := h.send("POST", "/review/1", "stream", "", workHeaders)
	assert.Equal(t, got.status, http.StatusServiceUnavailable, "a stream")
	assert.Equal(t, runCount(s), 0)
	for _, a := range fill {
		a.Close()
	}
	assert.Equal(t, h.send("POST", "/rates/1", "then", "x", nil).status, 200)
}

// TestMemoryShortageEjectsNoServer checks that a server does not count as failed if there was no
// memory in time for its answer, and that an answer to HEAD, which has a length and no body, needs
// no memory of that length.
func TestMemoryShortageEjectsNoServer(t *testing.T) {
	h := &bufferedAnswer{}
	assert.Equal(t, h.nextSize(maxAnswer*2), int64(maxReadSize))
	for _, c := range []struct {
		err  error
		want dispatch.Outcome
	}{
		{errNoMemory, dispatch.Neutral}, {fmt.Errorf("%w: %w", errNoMemory, context.DeadlineExceeded), dispatch.Neutral}, {errAnswerTooLong, dispatch.Failure},
	} {
		assert.Equal(t, outcomeOf(t.Context(), result{kind: late, err: c.err}), c.want, "%v", c.err)
	}
}

// TestHeadOfLargeAnswerIsRelayed checks that an answer to HEAD is relayed if its length is more
// than the maximum size of a buffered answer.
func TestHeadOfLargeAnswerIsRelayed(t *testing.T) {
	h := newHarness(t)
	h.limitMemory(1 << 20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(protocol.Headers.RequestID, r.Header.Get(protocol.Headers.RequestID))
		w.Header().Set(protocol.Headers.Signature, "s")
		w.Header().Set("Content-Length", strconv.Itoa(2*maxAnswer))
	}))
	t.Cleanup(server.Close)
	h.register("plain", "large", strings.TrimPrefix(server.URL, "http://"), "")
	got := h.send("HEAD", "/rates/1", "q", "", nil)
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.header.Get("Content-Length"), strconv.Itoa(2*maxAnswer))
}
