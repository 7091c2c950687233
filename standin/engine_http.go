package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/placement"
)

// request is a completion request as the engine decodes it.
type request struct {
	engine.Request
	Stream   bool `json:"stream"`
	Transfer struct {
		Export bool       `json:"export"`
		Import *engine.KV `json:"import"`
		From   int        `json:"from_index"`
	} `json:"kv_transfer"`
}

const maxRequestBytes = 16 << 20

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /v1/kv/{id}", e.serveKV)
	mux.HandleFunc("GET /v1/requests", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Held()) })
	mux.HandleFunc("GET /v1/requests/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/requests/{id}", e.cancel)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/cache_events", e.serveEvents)
	mux.HandleFunc("POST /v1/orders", e.order)
	return mux
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var in request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	ok := e.models[in.Model] != nil
	e.mu.Unlock()
	switch {
	case !ok:
		http.Error(w, "the model is not loaded", http.StatusNotFound)
	case in.Transfer.Export:
		e.prefill(w, r, in)
	case in.Transfer.Import != nil:
		e.decode(w, r, in)
	default:
		http.Error(w, "the request names no KV transfer", http.StatusBadRequest)
	}
}

func (e *Engine) prefill(w http.ResponseWriter, r *http.Request, in request) {
	prompt := in.Text()
	tokens := CountTokens(prompt) + in.SofarTokens
	j := &job{req: in.Request, cancelled: make(chan struct{}), kv: true}
	if !e.add(in.ID, j) {
		http.Error(w, "the ID is in use", http.StatusConflict)
		return
	}
	cached := e.lookUpPrefixes(prompt, tokens)
	prefillTime := time.Duration(float64(tokens-cached) / e.opts.PrefillRate * float64(time.Second))
	if !wait(r, j, prefillTime) {
		http.Error(w, "cancelled", http.StatusGone)
		return
	}
	time.AfterFunc(e.opts.KVHold, func() { e.dropIf(in.ID, j) })
	reply(w, engine.Prefilled{Cached: cached, KV: engine.KV{
		Source: e.addr, Handle: in.ID, Tokens: tokens,
		Bytes: int64(tokens) * e.opts.KVPerToken, TTL: e.opts.KVHold,
	}})
}

// dropIf drops a request unless its ID now belongs to another one.
func (e *Engine) dropIf(id string, j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobs[id] == j {
		delete(e.jobs, id)
		close(j.cancelled)
	}
}

// lookUpPrefixes returns the number of cached tokens of a prompt and adds its prefixes to the
// cache.
func (e *Engine) lookUpPrefixes(prompt string, tokens int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	hit := 0
	for i, h := range placement.Prefixes(prompt) {
		if e.cached[h] && hit == i {
			hit = i + 1
		}
		if !e.cached[h] {
			e.cached[h] = true
			e.events = append(e.events, engine.CacheEvent{Seq: uint64(len(e.events) + 1), Prefix: h})
		}
	}
	return min(hit*placement.BlockBytes/4, tokens-1)
}

// wait waits for d and reports whether the time passed before the job was cancelled or the caller
// disconnected.
func wait(r *http.Request, j *job, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-j.cancelled:
		return false
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) decode(w http.ResponseWriter, r *http.Request, in request) {
	j := &job{req: in.Request, prompt: HashPrompt(in.Text()), cancelled: make(chan struct{}), more: make(chan struct{})}
	j.total = e.opts.Tokens
	if n := in.Sampling.MaxTokens; n > 0 {
		j.total = min(n, j.total)
	}
	if !e.add(in.ID, j) {
		http.Error(w, "the ID is in use", http.StatusConflict)
		return
	}
	if err := e.fetch(r, j, *in.Transfer.Import); err != nil {
		e.drop(in.ID)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	e.mu.Lock()
	e.decodes++
	e.mu.Unlock()
	e.wg.Go(func() { e.generate(in.ID, j, in.Transfer.From) })
	e.stream(w, r, j, in.Transfer.From)
}

// fetch checks that the source has the KV cache and waits for the time that its bytes take on the
// link.
func (e *Engine) fetch(r *http.Request, j *job, kv engine.KV) error {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+kv.Source+"/v1/kv/"+kv.Handle, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the source has no such KV cache: status %d", resp.StatusCode)
	}
	transferTime := time.Duration(float64(kv.Bytes) / e.opts.LinkRate * float64(time.Second))
	if e.transfersStalled() {
		transferTime = time.Hour
	}
	if !wait(r, j, transferTime) {
		return fmt.Errorf("the transfer was cancelled")
	}
	return nil
}

func (e *Engine) transfersStalled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stalled
}

func (e *Engine) serveKV(w http.ResponseWriter, r *http.Request) {
	j := e.find(r.PathValue("id"))
	if j == nil || !j.kv {
		http.Error(w, "no such KV cache", http.StatusNotFound)
	}
}

// generate generates tokens until the answer ends or is cancelled. The job stays after its end
// until the end has been sent, so that a reader can resume.
func (e *Engine) generate(id string, j *job, from int) {
	tick := time.NewTicker(max(e.opts.TokenTime, time.Microsecond))
	defer tick.Stop()
	for n := from; n < j.total; n++ {
		select {
		case <-j.cancelled:
			return
		case <-tick.C:
		}
		e.setGenerated(j, n+1)
	}
	e.setGenerated(j, j.total+1) // past total: the answer has ended
}

// setGenerated sets the number of generated tokens of a job and wakes its readers.
func (e *Engine) setGenerated(j *job, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.generated = n
	close(j.more)
	j.more = make(chan struct{})
}

// stream sends the tokens from an index on as they are generated, and drops the job before it
// sends the end.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	for next := from; ; {
		e.mu.Lock()
		generated, more := j.generated, j.more
		e.mu.Unlock()
		for ; next < min(generated, j.total); next++ {
			send(w, engine.Chunk{Index: next, Text: Token(j.prompt, next)})
		}
		if generated > j.total {
			// The memory is released first, so that a reader of the end finds it free.
			e.dropIf(j.req.ID, j)
			send(w, engine.Chunk{Index: j.total, Finish: "stop"})
			_ = rc.Flush()
			return
		}
		_ = rc.Flush()
		select {
		case <-more:
		case <-j.cancelled:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func send(w http.ResponseWriter, c engine.Chunk) {
	data, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	j := e.find(r.PathValue("id"))
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if j == nil || j.kv || err != nil {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	e.stream(w, r, j, from)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	refuse := e.refuseCancels > 0
	if refuse {
		e.refuseCancels--
	}
	e.mu.Unlock()
	if refuse {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	e.drop(r.PathValue("id"))
}

// maxLoadAge is the maximum age of a load report.
const maxLoadAge = 100 * time.Millisecond

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.load.At) > maxLoadAge {
		e.updateLoad()
	}
	reply(w, e.load)
}

// maxEvents bounds the events in one answer. Older ones are omitted, which leaves a gap in their
// sequence numbers.
const maxEvents = 256

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	from := max(int(min(after, uint64(len(e.events)))), len(e.events)-maxEvents)
	reply(w, append([]engine.CacheEvent{}, e.events[from:]...))
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	switch o.Action {
	case engine.ActionLoad:
		e.models[o.Model] = &loadedModel{version: o.Version}
	case engine.ActionUnload:
		delete(e.models, o.Model)
	case engine.ActionAdapter:
		if m := e.models[o.Model]; m != nil && !slices.Contains(m.adapters, o.Adapter) {
			m.adapters = append(m.adapters, o.Adapter)
		}
	case engine.ActionRole:
		e.role = o.Role
	}
	e.updateLoad()
}
