package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/standin"
)

// maxResidentBytes bounds the memory of a gateway's process, whatever servers send.
const maxResidentBytes = 256 << 20

// endlessKinds are the kinds of endless bytes to draw from. Callers can't tell repeated first events
// and blank lines from an answer.
var endlessKinds = append([]standin.Endless{standin.EndlessBody, standin.EndlessTrailer, standin.EndlessEvent, standin.EndlessComments}, standin.EndlessHeads...)

// endlessShare is how many requests to a server get one endless answer on average.
const endlessShare = 4

// endlessSteps draws when servers answer without end, with a random source of its own.
func endlessSteps(seed uint64, length time.Duration, shape Shape) []Step {
	r := rand.New(rand.NewPCG(seed, 25))
	var out []Step
	for at := faultFreeStart; at < length-faultFreeEnd; at += time.Duration(float64(6*time.Second) * r.Float64()) {
		out = append(out, Step{
			At: at, Kind: EndlessAnswers, For: time.Duration((0.3 + 1.2*r.Float64()) * float64(time.Second)),
			Target: r.IntN(shape.Prefills + shape.Decodes + shape.Apps), Seed: r.Uint64(),
		})
	}
	return out
}

// answerEndlessly makes a server answer some of its requests and calls without end for a time.
func (f *faultInjector) answerEndlessly(ctx context.Context, step Step) {
	srv := f.cluster.servers[step.Target]
	srv.mu.Lock()
	d := srv.disturber
	srv.mu.Unlock()
	r := rand.New(rand.NewPCG(step.Seed, 26))
	d.setEndless(func() standin.Endless {
		if r.IntN(endlessShare) > 0 {
			return standin.NotEndless
		}
		return endlessKinds[r.IntN(len(endlessKinds))]
	})
	sleep(ctx, step.For)
	d.setEndless(nil)
}

// setEndless sets a function that draws which endless bytes the server answers a request with; nil
// for none.
func (d *disturber) setEndless(draw func() standin.Endless) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endless = draw
}

// drawEndless returns the endless bytes to answer a request with.
func (d *disturber) drawEndless(*http.Request) standin.Endless {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.endless == nil {
		return standin.NotEndless
	}
	kind := d.endless()
	if kind != standin.NotEndless {
		d.countDisturbance("endless " + kind.String())
	}
	return kind
}

// dropComments removes the comments of an event stream, which are no events, and an incomplete one
// at its end.
func dropComments(body string) string {
	var out strings.Builder
	for len(body) > 0 {
		block, rest, ended := strings.Cut(body, "\n\n")
		if !isComment([]byte(block)) {
			out.WriteString(block)
			if ended {
				out.WriteString("\n\n")
			}
		}
		body = rest
	}
	return out.String()
}

// isComment reports whether a block of an event stream is a comment.
func isComment(block []byte) bool { return bytes.HasPrefix(block, []byte(":")) }

// watchResident records the largest memory of a gateway's process until the context ends.
func (cl *cluster) watchResident(ctx context.Context, n int) {
	name := gatewayName(n)
	for ; ctx.Err() == nil; sleep(ctx, pollInterval) {
		if peak := peakResident(cl.processes[name].pid()); peak > 0 {
			cl.rec.update(func(h *History) { h.MostResident[name] = max(h.MostResident[name], peak) })
		}
	}
}

// peakResident returns the largest resident memory of a running process so far in bytes; zero if it
// is not known.
func peakResident(pid int) int64 {
	if pid == 0 {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// checkResident checks that no gateway's process grows beyond its bound.
func checkResident(h *History) []string {
	var out []string
	for name, peak := range h.MostResident {
		if peak > maxResidentBytes {
			out = append(out, fmt.Sprintf("%s had %d bytes of memory, allowed %d", name, peak, maxResidentBytes))
		}
	}
	return out
}
