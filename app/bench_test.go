package app_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/app"
	"github.com/ledgepin/ledgepin/engine"
)

const benchTokens = 250

func benchDev(b *testing.B, tokenTime time.Duration) *app.Dev {
	b.Helper()
	ctx, cancel := context.WithTimeout(b.Context(), 30*time.Second)
	defer cancel()
	d, err := app.StartDev(ctx, app.DevOptions{
		Listen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0", TokenTime: tokenTime, PrefillRate: 1e6,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	assert.NilError(b, err)
	b.Cleanup(d.Close)
	return d
}

// BenchmarkPath measures, in the same run, the time to the first token and the
// time per chunk of a request through ledgepin and of one sent to the engines
// directly.
func BenchmarkPath(b *testing.B) {
	d := benchDev(b, time.Microsecond)
	pre, dec := engine.NewClient(d.Engine("prefill-1").Addr()), engine.NewClient(d.Engine("decode-1").Addr())
	var direct, path [2]time.Duration // sums of the times to the first token and after it
	n := 0
	for b.Loop() {
		n++
		runAtEngines(b, pre, dec, fmt.Sprint("bench-", n), &direct)
		runAsCaller(b, d, &path)
	}
	chunks := time.Duration(n * (benchTokens - 1))
	b.ReportMetric(float64(direct[0].Microseconds())/float64(n), "engine-first-us")
	b.ReportMetric(float64(path[0].Microseconds())/float64(n), "path-first-us")
	b.ReportMetric(float64(path[0])/float64(direct[0]), "first-ratio")
	b.ReportMetric(float64((direct[1]/chunks).Nanoseconds())/1000, "engine-chunk-us")
	b.ReportMetric(float64((path[1]/chunks).Nanoseconds())/1000, "path-chunk-us")
	b.ReportMetric(float64(path[1])/float64(direct[1]), "chunk-ratio")
}

// runAtEngines sends a request to the engines directly and adds its times to sum.
func runAtEngines(b *testing.B, pre, dec engine.Engine, id string, sum *[2]time.Duration) {
	begin := time.Now()
	r := engine.Request{ID: id, Model: app.DevModel, Prompt: "bench", Sampling: engine.Sampling{MaxTokens: benchTokens}}
	p, err := pre.Prefill(b.Context(), r)
	assert.NilError(b, err)
	s, err := dec.Decode(b.Context(), r, p.KV, 0)
	assert.NilError(b, err)
	defer s.Close()
	_, err = s.Next()
	assert.NilError(b, err)
	first := time.Now()
	for err == nil {
		_, err = s.Next()
	}
	assert.Assert(b, errors.Is(err, io.EOF))
	sum[0] += first.Sub(begin)
	sum[1] += time.Since(first)
	assert.NilError(b, pre.Cancel(b.Context(), id))
}

// runAsCaller sends the same request through ledgepin and adds its times to sum.
func runAsCaller(b *testing.B, d *app.Dev, sum *[2]time.Duration) {
	begin := time.Now()
	resp := openStream(b, d, benchTokens)
	defer resp.Body.Close()
	scan := bufio.NewScanner(resp.Body)
	var first time.Time
	for scan.Scan() {
		if first.IsZero() && strings.HasPrefix(scan.Text(), "data:") {
			first = time.Now()
		}
	}
	assert.NilError(b, scan.Err())
	sum[0] += first.Sub(begin)
	sum[1] += time.Since(first)
}

func openStream(b *testing.B, d *app.Dev, tokens int) *http.Response {
	b.Helper()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":"bench"}`, app.DevModel, tokens)
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+d.Callers[0]+"/v1/completions", strings.NewReader(body))
	assert.NilError(b, err)
	req.Header.Set("Authorization", "Bearer "+app.DevReviewToken)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(b, err)
	assert.Equal(b, resp.StatusCode, http.StatusOK)
	return resp
}

// BenchmarkOpenStreams measures the memory that an open stream uses in this
// process: in the client, the entry, the agent and the stand-in engine.
func BenchmarkOpenStreams(b *testing.B) {
	d := benchDev(b, 50*time.Millisecond)
	const streams = 24
	for b.Loop() {
		before := memoryInUse()
		var all []*http.Response
		for range streams {
			all = append(all, openStream(b, d, 100))
		}
		b.ReportMetric((memoryInUse()-before)/streams/1000, "KB/stream")
		for _, r := range all {
			_, err := io.Copy(io.Discard, r.Body)
			assert.NilError(b, err)
			_ = r.Body.Close()
		}
	}
}

func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
