package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/internal/dupserver"
)

// newFakeEngine returns a handler that answers as an engine. Its answers identify their
// request: by its ID, the first index of a stream, or the number of requests so far.
func newFakeEngine() func(method, target, body string) dupserver.Response {
	var n atomic.Int64
	return func(method, target, body string) dupserver.Response { return answer(n.Add(1), method, target, body) }
}

func answer(n int64, method, target, body string) dupserver.Response {
	a := dupserver.Response{Status: http.StatusOK, Type: "application/json"}
	id := "one"
	if strings.Contains(target+body, "two") {
		id = "two"
	}
	switch {
	case method == http.MethodDelete && id == "two", target == "/v1/orders" && id == "two":
		a.Status = http.StatusConflict
	case method == http.MethodDelete, target == "/v1/orders":
	case strings.Contains(body, `"stream":true`), strings.Contains(target, "?from="):
		from := 0
		if strings.HasSuffix(target, "from=2") {
			from = 2
		}
		a.Type = "text/event-stream"
		a.Body = fmt.Sprintf("data: {\"index\":%d,\"text\":%q}\n\ndata: {\"index\":%d,\"finish_reason\":\"stop\"}\n\n", from, id, from+1)
	case method == http.MethodPost:
		a.Body = `{"kv":{"handle":"` + id + `"}}`
	case target == "/v1/requests":
		a.Body = fmt.Sprintf("[\"%d\"]", n)
	case target == "/v1/load":
		a.Body = fmt.Sprintf(`{"running":%d}`, n)
	default:
		a.Body = `[{"seq":` + target[strings.LastIndex(target, "=")+1:] + `}]`
	}
	return a
}

// engineCall is a call of an engine, and its result as text.
type engineCall struct {
	name string
	do   func(context.Context, *engine.Client) (string, error)
	want string
}

func readAll(s engine.Stream, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer s.Close()
	var out strings.Builder
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return out.String(), nil
		}
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&out, "%d%s ", c.Index, c.Text)
	}
}

// outcome returns whether a call was done or refused, as text.
func outcome(err error) (string, error) {
	if err != nil && strings.Contains(err.Error(), "status 409") {
		return "refused", nil
	}
	return "done", err
}

func engineCalls(id string) []engineCall {
	r := engine.Request{ID: id, Model: "m", Prompt: "p"}
	from, done, count := 0, "done", "1"
	if id == "two" {
		from, done, count = 2, "refused", "2"
	}
	return []engineCall{
		{"prefill", func(ctx context.Context, c *engine.Client) (string, error) {
			p, err := c.Prefill(ctx, r)
			return p.KV.Handle, err
		}, id},
		{"decode", func(ctx context.Context, c *engine.Client) (string, error) {
			return readAll(c.Decode(ctx, r, engine.KV{}, 0))
		}, "0" + id + " 1 "},
		{"resume", func(ctx context.Context, c *engine.Client) (string, error) {
			return readAll(c.Resume(ctx, "one", from))
		}, fmt.Sprintf("%done %d ", from, from+1)},
		{"cancel", func(ctx context.Context, c *engine.Client) (string, error) {
			return outcome(c.Cancel(ctx, id))
		}, done},
		{"order", func(ctx context.Context, c *engine.Client) (string, error) {
			return outcome(c.Order(ctx, engine.Order{Action: engine.ActionLoad, Model: id}))
		}, done},
		{"running", func(ctx context.Context, c *engine.Client) (string, error) {
			ids, err := c.Running(ctx)
			return strings.Join(ids, ","), err
		}, count},
		{"load", func(ctx context.Context, c *engine.Client) (string, error) {
			l, err := c.Load(ctx)
			return fmt.Sprint(l.Running), err
		}, count},
		{"cache events", func(ctx context.Context, c *engine.Client) (string, error) {
			ev, err := c.CacheEvents(ctx, uint64(from))
			return fmt.Sprint(ev), err
		}, fmt.Sprintf("[{%d 0 false}]", from)},
	}
}

// TestLateAnswerIsNotReturnedToNextRequest guards against a late answer to an earlier call that
// is returned as the answer to the next one.
func TestLateAnswerIsNotReturnedToNextRequest(t *testing.T) {
	for _, first := range engineCalls("one") {
		for _, second := range engineCalls("two") {
			t.Run(first.name+", "+second.name, func(t *testing.T) {
				c := engine.NewClient(dupserver.New(t, newFakeEngine()).Addr())
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				for _, a := range []engineCall{first, second} {
					got, err := a.do(ctx, c)
					assert.NilError(t, err)
					assert.Equal(t, got, a.want)
				}
			})
		}
	}
}

// TestEngineSeesClosedStream guards against an engine that keeps sending to a stream that was
// closed, or whose context was cancelled.
func TestEngineSeesClosedStream(t *testing.T) {
	for _, how := range []string{"closed", "cancelled"} {
		t.Run(how, func(t *testing.T) {
			disconnected := make(chan bool, 1)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, "data: {\"index\":0}\n\n")
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
				disconnected <- true
			}))
			defer srv.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s, err := engine.NewClient(srv.Listener.Addr().String()).Resume(ctx, "one", 0)
			assert.NilError(t, err)
			defer s.Close()
			_, err = s.Next()
			assert.NilError(t, err)
			if how == "closed" {
				assert.NilError(t, s.Close())
			} else {
				cancel()
			}
			select {
			case <-disconnected:
			case <-time.After(5 * time.Second):
				t.Fatal("the engine still sends after 5 s")
			}
		})
	}
}

// BenchmarkCalls makes small calls and short streams in sequence; the results include the
// engine's work.
func BenchmarkCalls(b *testing.B) {
	serve := newFakeEngine()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		a := serve(r.Method, r.RequestURI, string(body))
		w.Header().Set("Content-Type", a.Type)
		_, _ = io.WriteString(w, a.Body)
	}))
	defer srv.Close()
	for _, a := range engineCalls("one") {
		if a.name != "load" && a.name != "decode" {
			continue
		}
		b.Run(a.name, func(b *testing.B) {
			c := engine.NewClient(srv.Listener.Addr().String())
			b.ReportAllocs()
			for b.Loop() {
				if _, err := a.do(b.Context(), c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
