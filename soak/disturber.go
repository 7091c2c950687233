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
)

// trouble stands around an engine, and has its calls and streams go wrong while it is told
// to.
type disturber struct {
	mu     sync.Mutex
	rng    *rand.Rand
	active map[Kind]int
	// count is told of each.
	countTrouble func(what string)
}

func newDisturber(name string, incarnation int64, countTrouble func(what string)) *disturber {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return &disturber{rng: rand.New(rand.NewPCG(h.Sum64(), uint64(incarnation))), active: map[Kind]int{}, countTrouble: countTrouble}
}

// set begins or ends a kind of trouble; several may overlap.
func (d *disturber) add(k Kind, delta int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active[k] += delta
}

// draw returns a number below n if a kind of trouble is on, and -1 if it is not.
func (d *disturber) draw(k Kind, n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active[k] <= 0 {
		return -1
	}
	return d.rng.IntN(n)
}

// around is the handler around an engine's own.
func (d *disturber) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch path := r.URL.Path; {
		case strings.HasPrefix(path, "/-/kv-move"), strings.HasPrefix(path, "/-/hold-"), r.Method == http.MethodDelete:
			d.disturbCall(w, r, next)
		case strings.HasPrefix(path, "/"+string(Desk)+"/"), strings.HasPrefix(path, "/"+string(Review)+"/"):
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

// callTroubles name what goes wrong with a call, as it is drawn.
var callDisturbances = []string{"refused call", "late call", "late call", "late answer to a call", "late answer to a call", "lost answer to a call"}

// lateBy is how late a call or its answer is at most, beyond all that gateways wait.
const maxLateness = 1200 * time.Millisecond

// call has a call about a run, a copy or a hold go wrong: refused, late, or its answer late
// or lost.
func (d *disturber) disturbCall(w http.ResponseWriter, r *http.Request, next http.Handler) {
	choice := d.draw(DisturbCalls, 8)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if choice >= 0 && choice < len(callDisturbances) {
		d.countTrouble(callDisturbances[choice])
	}
	late := time.Duration(max(d.draw(DisturbCalls, int(maxLateness)), 0))
	switch choice {
	case 0:
		w.WriteHeader(http.StatusServiceUnavailable)
	case 1, 2:
		time.Sleep(late)
		next.ServeHTTP(w, r)
	case 3, 4:
		b := &bufferedAnswer{header: http.Header{}, status: http.StatusOK}
		next.ServeHTTP(b, r)
		time.Sleep(late)
		b.sendTo(w)
	case 5:
		next.ServeHTTP(&bufferedAnswer{header: http.Header{}}, r)
		resetConnection(w)
	default:
		next.ServeHTTP(w, r)
	}
}

// keptAnswer is an answer that has not been sent.
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

// pass sends the answer.
func (b *bufferedAnswer) sendTo(w http.ResponseWriter) {
	for name, values := range b.header {
		w.Header()[name] = values
	}
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body.Bytes())
}

// stream has a stream break, or come in another form.
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
	length := len(streamAfter(string(body), eventNumber(r.Header.Get(headers.LastEventID))))
	sw := &streamWriter{ResponseWriter: w, breakAt: d.drawBreak(length)}
	switch {
	case closesEarly:
		sw.closeDelimited, sw.closeAtBreak = true, true
	case choice == 0: // the run ends with its stream
	case choice == 1:
		sw.lingerAfterBreak = true
	case choice == 2: // without a frame, to its end
		sw.closeDelimited, sw.breakAt = true, -1
	case choice == 3: // without a frame, reset in the middle
		sw.closeDelimited = true
	case choice == 4: // with a length
		sw.contentLength, sw.breakAt = length, -1
	}
	d.countTrouble("broken stream")
	defer sw.finish()
	next.ServeHTTP(sw, r)
}

// place draws where a stream of some bytes breaks.
func (d *disturber) drawBreak(length int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(max(length, 1))
}
