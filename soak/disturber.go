package soak

import (
	"bytes"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/standin"
)

// disturber wraps the handler of an engine and disturbs its calls and streams while it is active.
type disturber struct {
	mu     sync.Mutex
	rng    *rand.Rand
	active map[Kind]int
	// endless draws which endless bytes the server answers a request with; nil for none.
	endless func() standin.Endless
	// version is the software version of the engine.
	version string
	// countDisturbance is called with each disturbance.
	countDisturbance func(what string)
}

func newDisturber(name, version string, incarnation int64, countDisturbance func(what string)) *disturber {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return &disturber{version: version, rng: rand.New(rand.NewPCG(h.Sum64(), uint64(incarnation))), active: map[Kind]int{}, countDisturbance: countDisturbance}
}

// add starts or ends a kind of disturbance; several of a kind may overlap.
func (d *disturber) add(k Kind, delta int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active[k] += delta
}

// draw returns a random number below n if a kind of disturbance is active, and -1 otherwise.
func (d *disturber) draw(k Kind, n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active[k] <= 0 {
		return -1
	}
	return d.rng.IntN(n)
}

// routeKind returns the kind of requests of a path.
func routeKind(path string) RequestKind {
	kind, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return RequestKind(kind)
}

// wrap returns a handler that disturbs requests to next.
func (d *disturber) wrap(next http.Handler) http.Handler {
	return standin.WithEndless(headers, d.drawEndless)(d.disturb(next))
}

// disturb returns a handler that disturbs calls and streams to next.
func (d *disturber) disturb(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch path := r.URL.Path; {
		case r.ContentLength >= longBodyBytes:
			d.answerEarly(w, r, next)
		case strings.HasPrefix(path, "/-/kv-move"), strings.HasPrefix(path, "/-/hold-"), r.Method == http.MethodDelete:
			d.disturbCall(w, r, next)
		case routeKind(path).isStream():
			if r.Header.Get(headers.Role) == "" {
				d.disturbStream(w, r, next)
				return
			}
			next.ServeHTTP(w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// callDisturbances are the names of the disturbances of a call, by the number that is drawn.
var callDisturbances = []string{"refused call", "late call", "late call", "late answer to a call", "late answer to a call", "lost answer to a call"}

// maxLateness is the maximum delay of a call or its answer. It exceeds all timeouts of gateways.
const maxLateness = 1200 * time.Millisecond

// disturbCall refuses or delays a call about a run, a copy or a hold, or delays or drops its
// answer.
func (d *disturber) disturbCall(w http.ResponseWriter, r *http.Request, next http.Handler) {
	choice := d.draw(DisturbCalls, 8)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if choice >= 0 && choice < len(callDisturbances) {
		d.countDisturbance(callDisturbances[choice])
	}
	delay := time.Duration(max(d.draw(DisturbCalls, int(maxLateness)), 0))
	switch choice {
	case 0:
		w.WriteHeader(http.StatusServiceUnavailable)
	case 1, 2:
		time.Sleep(delay)
		next.ServeHTTP(w, r)
	case 3, 4:
		b := &bufferedAnswer{header: http.Header{}, status: http.StatusOK}
		next.ServeHTTP(b, r)
		time.Sleep(delay)
		b.sendTo(w)
	case 5:
		next.ServeHTTP(&bufferedAnswer{header: http.Header{}}, r)
		resetConnection(w)
	default:
		next.ServeHTTP(w, r)
	}
}

// bufferedAnswer is an answer that has not been sent.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedAnswer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedAnswer) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedAnswer) Write(p []byte) (int, error) { return b.body.Write(p) }

// sendTo sends the answer.
func (b *bufferedAnswer) sendTo(w http.ResponseWriter) {
	for name, values := range b.header {
		w.Header()[name] = values
	}
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body.Bytes())
}

// disturbStream breaks a stream or changes its framing.
func (d *disturber) disturbStream(w http.ResponseWriter, r *http.Request, next http.Handler) {
	choice, closesEarly := d.draw(BreakStreams, 8), d.draw(CloseStreams, 3) == 0
	if !closesEarly && (choice < 0 || choice > 4) {
		next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	length := len(streamAfter(versionContent(string(body), d.version), eventNumber(r.Header.Get(headers.LastEventID))))
	sw := &streamWriter{ResponseWriter: w, breakAt: d.drawBreak(length)}
	switch {
	case closesEarly:
		sw.closeDelimited, sw.closeAtBreak = true, true
	case choice == 0: // the run ends with its stream
	case choice == 1:
		sw.lingerAfterBreak = true
	case choice == 2: // close-delimited, complete
		sw.closeDelimited, sw.breakAt = true, -1
	case choice == 3: // close-delimited, reset in the middle
		sw.closeDelimited = true
	case choice == 4: // with Content-Length
		sw.contentLength, sw.breakAt = length, -1
	}
	d.countDisturbance("broken stream")
	defer sw.finish()
	next.ServeHTTP(sw, r)
}

// drawBreak draws the byte at which a stream of some length breaks.
func (d *disturber) drawBreak(length int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(max(length, 1))
}
