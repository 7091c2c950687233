package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/ledgepin/ledgepin/standin"
)

// Callers that read large answers slowly, and the bound of the memory that gateways may hold for
// callers.
const (
	slowReaderCount  = 30
	largeAnswerBytes = 1 << 20
	// gatewayMemoryMB is the memory of a gateway process in MB, less than the slow readers of two
	// steps require.
	gatewayMemoryMB = 48
	// maxHeldBytes is the share of it for callers, which is the default of the settings.
	maxHeldBytes = gatewayMemoryMB * 1000 * 1000 * 4 / 10
	// maxServerPause is the longest pause in the middle of a server's answer.
	maxServerPause = 1200 * time.Millisecond
)

// slowSteps draws when callers and servers are slow, with a random source of its own.
func slowSteps(seed uint64, length time.Duration, shape Shape) []Step {
	r := rand.New(rand.NewPCG(seed, 11))
	var out []Step
	for at := faultFreeStart; at < length-faultFreeEnd; at += time.Duration(float64(5*time.Second) * r.Float64()) {
		s := Step{At: at, For: time.Duration((0.5 + 2*r.Float64()) * float64(time.Second)), Seed: r.Uint64()}
		s.Kind, s.Target = SlowReaders, r.IntN(shape.Gateways)
		if r.IntN(3) == 0 {
			s.Kind, s.Target = SlowServer, shape.Prefills+shape.Decodes+r.IntN(shape.Apps)
		}
		out = append(out, s)
	}
	return out
}

// slowServer makes a plain server pause in the middle of its answers for a time.
func (f *faultInjector) slowServer(ctx context.Context, step Step) {
	b, _ := f.cluster.servers[step.Target].current()
	r := rand.New(rand.NewPCG(step.Seed, 12))
	b.SetAnswerPause(time.Duration(r.Float64() * float64(maxServerPause)))
	sleep(ctx, step.For)
	b.SetAnswerPause(0)
}

// runSlowReaders makes callers request large answers from a gateway, read a part or nothing, and
// disconnect.
func (f *faultInjector) runSlowReaders(ctx context.Context, step Step) {
	if f.load.excluded[step.Target].Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, step.For)
	defer cancel()
	r := rand.New(rand.NewPCG(step.Seed, 13))
	for i := range slowReaderCount {
		q := Request{ID: fmt.Sprintf("slow-%x-%d", step.Seed, i), Kind: Rates, Gateway: step.Target, Organisation: "one", Content: standin.LargeAnswerBody(largeAnswerBytes)}
		pause := time.Duration(r.IntN(3)) * 50 * time.Millisecond // zero reads nothing
		f.load.wg.Go(func() { f.load.runSlowReader(ctx, q, pause) })
	}
	<-ctx.Done()
}

// runSlowReader runs a caller that reads slowly until the context ends and then disconnects.
func (l *load) runSlowReader(ctx context.Context, q Request, pause time.Duration) {
	q.Sent = l.rec.now()
	status, body, err := l.readSlowly(ctx, &q, pause)
	l.rec.update(func(h *History) {
		q.Ended, q.Status, q.Body, q.Cut = l.rec.now(), status, body, err != nil
		if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
			q.LeftAt = q.Ended
		}
		h.Requests = append(h.Requests, q)
	})
}

func (l *load) readSlowly(ctx context.Context, q *Request, pause time.Duration) (int, string, error) {
	req, err := l.newRequest(ctx, q, deadlines[q.Kind])
	if err != nil {
		return 0, "", err
	}
	resp, err := newUnpooledClient(slowReaderBuffer).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	if pause == 0 {
		<-ctx.Done()
		return resp.StatusCode, "", ctx.Err()
	}
	var body []byte
	piece := make([]byte, 64<<10)
	for {
		n, err := resp.Body.Read(piece)
		body = append(body, piece[:n]...)
		if errors.Is(err, io.EOF) {
			return resp.StatusCode, string(body), nil
		}
		if err != nil {
			return resp.StatusCode, string(body), err
		}
		sleep(ctx, pause)
	}
}

// heldBytes returns the number of bytes that a gateway reports that it holds for callers.
func (cl *cluster) heldBytes(ctx context.Context, n int) (int64, bool) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	status, body, err := cl.call(ctx, http.MethodGet, "http://"+cl.processes[gatewayName(n)].operators+"/v1/dump", "")
	var roles map[string]struct {
		Held int64 `json:"held_bytes"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal([]byte(body), &roles) != nil {
		return 0, false
	}
	var held int64
	for _, g := range roles {
		held += g.Held
	}
	return held, true
}

// watchHeld records the maximum number of bytes that a gateway holds for callers, until the context
// ends.
func (cl *cluster) watchHeld(ctx context.Context, n int) {
	name := gatewayName(n)
	for ; ctx.Err() == nil; sleep(ctx, pollInterval) {
		if held, ok := cl.heldBytes(ctx, n); ok {
			cl.rec.update(func(h *History) { h.MostHeld[name] = max(h.MostHeld[name], held) })
		}
	}
}

// checkHeldBytes checks that gateways hold no more for callers than allowed, and nothing once all
// requests have ended.
func checkHeldBytes(h *History) []string {
	var out []string
	for name, held := range h.MostHeld {
		if held > maxHeldBytes {
			out = append(out, fmt.Sprintf("%s held %d bytes for callers, allowed %d", name, held, maxHeldBytes))
		}
	}
	for name, held := range h.LeftHeld {
		if held > 0 {
			out = append(out, fmt.Sprintf("%s still holds %d bytes after all requests have ended", name, held))
		}
	}
	return out
}
