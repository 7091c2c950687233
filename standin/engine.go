package standin

import (
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/engine"
)

// EngineOptions set the speed and size of a stand-in engine.
type EngineOptions struct {
	Name string
	// Models are loaded with version 1.
	Models []string
	// Role is the initial role.
	Role string
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// TokenTime is the time between tokens.
	TokenTime time.Duration
	// LinkRate is in bytes per second.
	LinkRate float64
	// KVPerToken is in bytes.
	KVPerToken int64
	// KVHold is how long the KV cache of a prefill is kept.
	KVHold time.Duration
	Slots  int
	// Tokens bounds the answers to requests without a limit of their own.
	Tokens int
}

// loadedModel is a model in the engine's memory.
type loadedModel struct {
	version  string
	adapters []string
}

// job is a request that holds memory.
type job struct {
	req       engine.Request
	prompt    uint64
	generated int // tokens generated so far
	total     int
	cancelled chan struct{}
	more      chan struct{} // closed when a token is generated
	kv        bool
}

// Engine is a stand-in model engine with its HTTP server on loopback.
type Engine struct {
	opts EngineOptions
	addr string
	srv  *http.Server
	wg   sync.WaitGroup

	mu      sync.Mutex
	jobs    map[string]*job
	cached  map[uint64]bool
	events  []engine.CacheEvent
	models  map[string]*loadedModel
	role    string
	load    engine.Load
	stalled bool
	orders  []engine.Order
	// refuseCancels is the number of next cancel calls that fail.
	refuseCancels int
	decodes       int // decodes started
}

// StartEngine serves an engine at addr ("127.0.0.1:0" for any free port).
func StartEngine(addr string, o EngineOptions) (*Engine, error) {
	e := &Engine{opts: o}
	e.reset()
	if err := e.listen(addr); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *Engine) reset() {
	e.jobs = map[string]*job{}
	e.cached = map[uint64]bool{}
	e.models = map[string]*loadedModel{}
	for _, m := range e.opts.Models {
		e.models[m] = &loadedModel{version: "1"}
	}
	e.role = e.opts.Role
	e.updateLoad()
}

func (e *Engine) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("standin: start engine: %w", err)
	}
	e.addr = ln.Addr().String()
	e.srv = &http.Server{Handler: e.routes(), ReadHeaderTimeout: 5 * time.Second}
	e.wg.Go(func() { _ = e.srv.Serve(ln) })
	return nil
}

// Addr returns the engine's IP address and port.
func (e *Engine) Addr() string { return e.addr }

// Kill ends the engine immediately and drops its whole state.
func (e *Engine) Kill() {
	_ = e.srv.Close()
	e.mu.Lock()
	for _, j := range e.jobs {
		close(j.cancelled)
	}
	e.reset()
	e.mu.Unlock()
	e.wg.Wait()
}

// Restart starts a killed engine again at its address, without any state.
func (e *Engine) Restart() error { return e.listen(e.addr) }

// SetStall makes new transfers hang, or run normally.
func (e *Engine) SetStall(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = on
}

// RefuseCancels makes the next n cancel calls fail.
func (e *Engine) RefuseCancels(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refuseCancels = n
}

// Held returns the IDs of the requests that hold memory.
func (e *Engine) Held() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]string, 0, len(e.jobs))
	for id := range e.jobs {
		out = append(out, id)
	}
	return out
}

// Decodes returns the number of decodes that were started.
func (e *Engine) Decodes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.decodes
}

// Orders returns the orders that were executed.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engine.Order(nil), e.orders...)
}

// updateLoad refreshes the load report. The caller holds e.mu or is the only user of e.
func (e *Engine) updateLoad() {
	e.load = engine.Load{Running: len(e.jobs), Slots: e.opts.Slots, Models: []string{}, Role: e.role, At: time.Now()}
	for name, m := range e.models {
		e.load.Models = append(e.load.Models, name)
		e.load.Assets = append(e.load.Assets, engine.Asset(name, m.version, ""))
		for _, a := range m.adapters {
			e.load.Assets = append(e.load.Assets, engine.Asset(name, m.version, a))
		}
	}
	slices.Sort(e.load.Models)
	slices.Sort(e.load.Assets)
}

// add adds a request and reports whether its ID was free.
func (e *Engine) add(id string, j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobs[id] != nil {
		return false
	}
	e.jobs[id] = j
	return true
}

func (e *Engine) drop(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j := e.jobs[id]; j != nil {
		delete(e.jobs, id)
		close(j.cancelled)
	}
}

func (e *Engine) find(id string) *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobs[id]
}

// CountTokens returns the number of tokens of a prompt: one for every four bytes.
func CountTokens(prompt string) int { return max(len(prompt)/4, 1) }

var vocabulary = strings.Fields("the licence seat is free for this desk and the rate stands as posted today " +
	"so the review finds no fault in the log while one feature was held past its term")

// Token returns token i of the answer to a prompt with the given hash.
func Token(prompt uint64, i int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%d", prompt, i)
	return vocabulary[h.Sum64()%uint64(len(vocabulary))] + " "
}

// HashPrompt returns the hash from which the tokens of an answer follow.
func HashPrompt(prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	return h.Sum64()
}

// Answer returns the first n tokens of the answer to a prompt.
func Answer(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(HashPrompt(prompt), i))
	}
	return b.String()
}

// ChatPrompt returns the prompt into which a chat is converted.
func ChatPrompt(turns []engine.Turn) string {
	r := engine.Request{Messages: turns}
	return r.Text()
}

// Assets returns the loaded models and adapters.
func (e *Engine) Assets() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateLoad()
	return e.load.Assets
}
