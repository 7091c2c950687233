package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/standin"
)

// readCounter counts what the gateway reads from servers, by address.
type readCounter struct {
	mu    sync.Mutex
	bytes map[string]int64
	most  int64 // on one connection
}

type countedConn struct {
	*net.TCPConn
	counter *readCounter
	address string
	n       int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.counter.mu.Lock()
	defer c.counter.mu.Unlock()
	c.n += int64(n)
	c.counter.bytes[c.address] += int64(n)
	c.counter.most = max(c.counter.most, c.n)
	return n, err
}

func (h *harness) countReads() *readCounter {
	counter := &readCounter{bytes: map[string]int64{}}
	var d net.Dialer
	h.gateway.pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{TCPConn: c.(*net.TCPConn), counter: counter, address: address}, nil
	}
	return counter
}

func (c *readCounter) mostOnConnection() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.most
}

// endlessBound is what one exchange may read of a kind of endless bytes, with what the connection
// reads ahead.
func endlessBound(e standin.Endless, whole int64) int64 {
	const ahead = 64 << 10
	switch e {
	case standin.EndlessStatusLine, standin.EndlessField, standin.EndlessFields, standin.EndlessFolds, standin.EndlessInterim:
		return 32<<10 + ahead
	case standin.EndlessOther:
		return 1<<20 + ahead
	case standin.EndlessComments, standin.EndlessBlankLines:
		return maxQuietBytes + ahead
	case standin.EndlessRepeats:
		return maxDroppedBytes + ahead
	}
	return whole + ahead
}

// tryLimit is how long a request may take that was sent to an endless server: much less than the
// timeouts of its route and of one attempt.
const tryLimit = 2 * time.Second

// TestEndlessAnswersOfPlainServers has servers send bytes without end: the gateway read gigabytes, up
// to the deadline, and kept heads in memory as long as they were.
func TestEndlessAnswersOfPlainServers(t *testing.T) {
	kinds := append([]standin.Endless{standin.EndlessBody, standin.EndlessTrailer}, standin.EndlessHeads...)
	for _, kind := range kinds {
		t.Run(kind.String(), func(t *testing.T) {
			h := newHarness(t)
			h.setTimeout("rates", 20*time.Second)
			h.setTimeout("seats", 20*time.Second)
			reads := h.countReads()
			var endless atomic.Int64
			h.add("plain", "endless", "").SetMiddleware(standin.WithEndless(backend.DefaultHeaders, func(*http.Request) standin.Endless {
				endless.Add(1)
				return kind
			}))
			started := time.Now()
			got := h.send("POST", "/seats/1", "once", "x", nil)
			assert.Equal(t, got.status, http.StatusBadGateway, got.body)
			assert.Assert(t, time.Since(started) < tryLimit, "%v", time.Since(started))

			h.add("plain", "sound", "")
			for n := range 12 {
				started := time.Now()
				got := h.send("GET", "/rates/1", fmt.Sprint("q", n), "", nil)
				assert.Equal(t, got.status, http.StatusOK, "%d: %s", n, got.body)
				assert.Assert(t, time.Since(started) < tryLimit, "%v", time.Since(started))
			}
			assert.Assert(t, endless.Load() > 0)
			assert.Assert(t, reads.mostOnConnection() <= endlessBound(kind, maxAnswer), "%d bytes read on one connection", reads.mostOnConnection())
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if n := h.gateway.memory.Held(); n != 0 {
					return poll.Continue("%d bytes held", n)
				}
				return poll.Success()
			}, poll.WithTimeout(5*time.Second))
		})
	}
}

// TestEndlessAnswersOfEngines has engines send bytes without end on each way on which a request or a
// call is sent to them.
func TestEndlessAnswersOfEngines(t *testing.T) {
	isHold := func(r *http.Request) bool {
		return strings.HasPrefix(r.URL.Path, standin.HoldPath) && r.Method == http.MethodPost
	}
	isRun := func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/desk/") && isDecode(r) }
	for _, way := range []struct {
		name  string
		is    func(r *http.Request) bool
		whole int64
		kinds []standin.Endless
	}{
		{"decode", isRun, 4 << 20, append(standin.EndlessStreams, standin.EndlessHeads...)},
		{"prefill", func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/desk/") && isPrefill(r) }, backend.MaxCallBytes, append([]standin.Endless{standin.EndlessBody}, standin.EndlessHeads...)},
		{"hold", isHold, backend.MaxCallBytes, append([]standin.Endless{standin.EndlessBody}, standin.EndlessHeads...)},
	} {
		for _, kind := range way.kinds {
			t.Run(way.name+"/"+kind.String(), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				reads := h.countReads()
				var endless atomic.Int64
				for _, role := range []string{"prefill", "decode"} {
					h.add("llm", "sound-"+role, role)
					h.add("llm", "endless-"+role, role).SetMiddleware(standin.WithEndless(backend.DefaultHeaders, func(r *http.Request) standin.Endless {
						if !way.is(r) {
							return standin.NotEndless
						}
						endless.Add(1)
						return kind
					}))
				}
				for n := range 8 {
					started := time.Now()
					got := h.send("POST", "/desk/1", fmt.Sprint("q", n), "x", workHeaders)
					assert.Equal(t, got.status, http.StatusOK, got.body)
					assert.Assert(t, time.Since(started) < tryLimit, "%v", time.Since(started))
					events := strings.ReplaceAll(strings.ReplaceAll(got.body, ": still here\n\n", ""), "\n\n\n", "\n\n")
					assert.Assert(t, strings.HasSuffix(events, completeStream()) && !got.truncated, "%d bytes, truncated %t, %.300q", len(got.body), got.truncated, got.body)
				}
				assert.Assert(t, endless.Load() > 0)
				assert.Assert(t, reads.mostOnConnection() <= endlessBound(kind, way.whole), "%d bytes read on one connection", reads.mostOnConnection())
			})
		}
	}
}

// TestEndlessAnswersToCalls has a server send bytes without end in answer to the gateway's own calls,
// such as a health check: it reads a bounded part, and doesn't take the server for crashed.
func TestEndlessAnswersToCalls(t *testing.T) {
	for _, kind := range append([]standin.Endless{standin.EndlessBody, standin.EndlessTrailer}, standin.EndlessHeads...) {
		t.Run(kind.String(), func(t *testing.T) {
			h := newHarness(t)
			reads := h.countReads()
			b := h.add("plain", "s1", "")
			b.SetMiddleware(standin.WithEndless(backend.DefaultHeaders, func(*http.Request) standin.Endless { return kind }))
			s := *h.gateway.fleet.list()[0]
			q := &request{service: h.gateway.awaitTable(t.Context()).Service("plain")}
			started := time.Now()
			res, _ := h.gateway.exchange(t.Context(), q, &s, h.gateway.callTo(q, &s, backend.Call{Method: http.MethodGet, Path: "/call"}))
			assert.Equal(t, res.kind, broken)
			assert.NilError(t, h.gateway.probe(q, &s))
			assert.Assert(t, time.Since(started) < tryLimit, "%v", time.Since(started))
			assert.Assert(t, reads.mostOnConnection() <= endlessBound(kind, backend.MaxCallBytes), "%d bytes read on one connection", reads.mostOnConnection())
		})
	}
}

// TestEndlessEventBlamesItsEngine checks that an event that needs more memory than a request may hold
// counts as lost by its engine, and not as a lack of memory.
func TestEndlessEventBlamesItsEngine(t *testing.T) {
	h := newHarness(t)
	h.limitMemory(512 << 10)
	h.add("llm", "p1", "prefill")
	h.add("llm", "d1", "decode").SetMiddleware(standin.WithEndless(backend.DefaultHeaders, func(r *http.Request) standin.Endless {
		if r.URL.Path == "/review/1" {
			return standin.EndlessEvent
		}
		return standin.NotEndless
	}))
	got := h.send("POST", "/review/1", "q1", "x", workHeaders)
	assert.Assert(t, got.truncated || got.status == http.StatusBadGateway, "%d", got.status)
	assert.Equal(t, h.reportedLost("d1"), 1)
}

// TestEndlessServersAreAvoided checks that a server that sends bytes without end counts as one that
// loses its answers.
func TestEndlessServersAreAvoided(t *testing.T) {
	for _, err := range []error{
		&backend.Error{Sent: true, Cause: fmt.Errorf("%w: head", backend.ErrTooLong)}, fmt.Errorf("%w: comments", errEndless),
	} {
		assert.Equal(t, outcomeOf(t.Context(), result{kind: broken, err: err}), dispatch.Lost, "%v", err)
	}
}

// TestEndlessAnswersFillNoMemory has a gateway's full number of requests answered without end at once.
func TestEndlessAnswersFillNoMemory(t *testing.T) {
	const (
		requests = 300
		// accounted is what the gateway may hold for callers, perRequest what a request may use
		// besides: a head while it is parsed, and the buffers of its connections.
		accounted  = 48 << 20
		perRequest = 256 << 10
	)
	h := newHarness(t)
	limits := h.limitMemory(accounted / 8)
	assert.Equal(t, limits.Total, int64(accounted))
	h.setMaxConnections("plain", requests)
	kinds := append([]standin.Endless{standin.EndlessBody, standin.EndlessTrailer}, standin.EndlessHeads...)
	var next atomic.Int64
	endless := h.add("plain", "endless", "")
	endless.SetMiddleware(standin.WithEndless(backend.DefaultHeaders, func(*http.Request) standin.Endless {
		return kinds[int(next.Add(1))%len(kinds)]
	}))
	defer debug.SetGCPercent(debug.SetGCPercent(20))
	before := heapBytes()
	done := make(chan struct{})
	peak := make(chan int64)
	go func() {
		most := int64(0)
		for {
			select {
			case <-done:
				peak <- most
				return
			case <-time.After(5 * time.Millisecond):
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				most = max(most, int64(m.HeapInuse))
			}
		}
	}()
	var wg sync.WaitGroup
	for n := range requests {
		wg.Go(func() { _ = h.send("POST", "/seats/1", fmt.Sprint("q", n), "x", nil) })
	}
	wg.Wait()
	close(done)
	grown := <-peak - before
	t.Logf("the heap grew by %.1f MB, %d exchanges", float64(grown)/1e6, next.Load())
	assert.Assert(t, next.Load() > requests/4)
	assert.Assert(t, grown < accounted+requests*perRequest, "the heap grew by %d bytes", grown)
}

// TestEndlessAnswersToCopies has an engine answer the call for a copy of a run without end.
func TestEndlessAnswersToCopies(t *testing.T) {
	for _, kind := range append([]standin.Endless{standin.EndlessBody, standin.EndlessTrailer}, standin.EndlessHeads...) {
		t.Run(kind.String(), func(t *testing.T) {
			h := newHarness(t)
			reads := h.countReads()
			h.add("llm", "d1", "decode").SetMiddleware(standin.WithEndless(backend.DefaultHeaders, func(*http.Request) standin.Endless { return kind }))
			s := *h.gateway.fleet.list()[0]
			n := &generation{g: h.gateway, q: &request{id: "q1", service: h.gateway.awaitTable(t.Context()).Service("llm")}}
			started := time.Now()
			got := n.sendCopy(t.Context(), n.identifiedCallTo(&s, protocol.CopyRun("q1", "127.0.0.1:1", true), copyCall, func([]byte) string { return "" }))
			if kind == standin.EndlessTrailer {
				assert.ErrorContains(t, got.err, "long trailer") // the bound of net/http
			} else {
				assert.ErrorIs(t, got.err, backend.ErrTooLong)
			}
			assert.Assert(t, time.Since(started) < tryLimit, "%v", time.Since(started))
			assert.Assert(t, reads.mostOnConnection() <= endlessBound(kind, backend.MaxCallBytes), "%d bytes read on one connection", reads.mostOnConnection())
		})
	}
}
