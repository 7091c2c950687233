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
type trouble struct {
	mu  sync.Mutex
	rng *rand.Rand
	on  map[Kind]int
	// count is told of each.
	count func(what string)
}

func newTrouble(name string, incarnation int64, count func(what string)) *trouble {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return &trouble{rng: rand.New(rand.NewPCG(h.Sum64(), uint64(incarnation))), on: map[Kind]int{}, count: count}
}

// set begins or ends a kind of trouble; several may overlap.
func (t *trouble) set(k Kind, more int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.on[k] += more
}

// draw returns a number below n if a kind of trouble is on, and -1 if it is not.
func (t *trouble) draw(k Kind, n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.on[k] <= 0 {
		return -1
	}
	return t.rng.IntN(n)
}

// around is the handler around an engine's own.
func (t *trouble) around(own http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch path := r.URL.Path; {
		case strings.HasPrefix(path, "/-/kv-move"), strings.HasPrefix(path, "/-/hold-"), r.Method == http.MethodDelete:
			t.call(w, r, own)
		case strings.HasPrefix(path, "/"+string(Desk)+"/"), strings.HasPrefix(path, "/"+string(Review)+"/"):
			if r.Header.Get(headers.Role) == "" {
				t.stream(w, r, own)
				return
			}
			own.ServeHTTP(w, r)
		default:
			own.ServeHTTP(w, r)
		}
	})
}

// callTroubles name what goes wrong with a call, as it is drawn.
var callTroubles = []string{"refused call", "late call", "late call", "late answer to a call", "late answer to a call", "lost answer to a call"}

// lateBy is how late a call or its answer is at most, beyond all that gateways wait.
const lateBy = 1200 * time.Millisecond

// call has a call about a run, a copy or a hold go wrong: refused, late, or its answer late
// or lost.
func (t *trouble) call(w http.ResponseWriter, r *http.Request, own http.Handler) {
	how := t.draw(DisturbCalls, 8)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if how >= 0 && how < len(callTroubles) {
		t.count(callTroubles[how])
	}
	late := time.Duration(max(t.draw(DisturbCalls, int(lateBy)), 0))
	switch how {
	case 0:
		w.WriteHeader(http.StatusServiceUnavailable)
	case 1, 2:
		time.Sleep(late)
		own.ServeHTTP(w, r)
	case 3, 4:
		k := &keptAnswer{header: http.Header{}, status: http.StatusOK}
		own.ServeHTTP(k, r)
		time.Sleep(late)
		k.pass(w)
	case 5:
		own.ServeHTTP(&keptAnswer{header: http.Header{}}, r)
		resetAnswer(w)
	default:
		own.ServeHTTP(w, r)
	}
}

// keptAnswer is an answer that has not been sent.
type keptAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (k *keptAnswer) Header() http.Header { return k.header }

// WriteHeader implements http.ResponseWriter.
func (k *keptAnswer) WriteHeader(status int) { k.status = status }

// Write implements http.ResponseWriter.
func (k *keptAnswer) Write(p []byte) (int, error) { return k.body.Write(p) }

// pass sends the answer.
func (k *keptAnswer) pass(w http.ResponseWriter) {
	for name, values := range k.header {
		w.Header()[name] = values
	}
	w.WriteHeader(k.status)
	_, _ = w.Write(k.body.Bytes())
}

// stream has a stream break, or come in another form.
func (t *trouble) stream(w http.ResponseWriter, r *http.Request, own http.Handler) {
	how, closes := t.draw(BreakStreams, 8), t.draw(CloseStreams, 3) == 0
	if !closes && (how < 0 || how > 4) {
		own.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	length := len(streamFrom(string(body), numberOf(r.Header.Get(headers.LastEventID))))
	f := &form{ResponseWriter: w, breakAt: t.place(length)}
	switch {
	case closes:
		f.unframed, f.closes = true, true
	case how == 0: // the run ends with its stream
	case how == 1:
		f.lingers = true
	case how == 2: // without a frame, to its end
		f.unframed, f.breakAt = true, -1
	case how == 3: // without a frame, reset in the middle
		f.unframed = true
	case how == 4: // with a length
		f.length, f.breakAt = length, -1
	}
	t.count("broken stream")
	defer f.end()
	own.ServeHTTP(f, r)
}

// place draws where a stream of some bytes breaks.
func (t *trouble) place(length int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.IntN(max(length, 1))
}
