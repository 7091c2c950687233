package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/backend"
)

// Fault is how a stand-in backend server mishandles one request.
type Fault int

const (
	NoFault Fault = iota
	// Refuse reports that the request did not run.
	Refuse
	// LoseAnswer runs the request and resets the connection.
	LoseAnswer
	// NoSignature answers without the server's signature header.
	NoSignature
	// OtherAnswerFirst sends the answer to another request before the right one.
	OtherAnswerFirst
	// CutStream ends a stream in the middle of its third event.
	CutStream
	// Hang runs the request and never answers.
	Hang
	// Crash ends the server as it starts the request.
	Crash
	// RefuseAfterKVFetch fetches the KV cache and reports that the request did not run.
	RefuseAfterKVFetch
)

// HealthPath is the path of a server's health check.
const HealthPath = "/health"

// Arrival is one request that a server received.
type Arrival struct {
	ID     string
	Method string
	Target string
	Header http.Header
	Body   string
	// Ran reports whether the server started the request, Continues whether it continued a run
	// that was stopped at another server, and Mixed whether it started from the KV cache of
	// another request.
	Ran, Continues, Mixed bool
	// At is the time of arrival, Ended the time at which the server stopped working on the
	// request; zero while it works on it.
	At, Ended time.Time
}

// Backend is a stand-in backend server that a gateway calls directly: a plain service, or an
// engine for one phase of disaggregated serving.
type Backend struct {
	// ID names the incarnation. Role is empty for a plain service.
	ID, Role string
	// Name is the server's name in requests, the same for all incarnations; empty if it is the ID.
	// It is set before the server is registered anywhere.
	Name    string
	addr    string
	headers backend.Headers
	srv     *http.Server
	wg      sync.WaitGroup
	group   *BackendGroup

	mu       sync.Mutex
	arrivals []Arrival
	// born is the time of its start in Unix milliseconds, as it reports it; zero if it reports none.
	born  int64
	fault func(r *http.Request) Fault
	// middleware wraps the server's handler; text returns the texts of events.
	middleware func(own http.Handler) http.Handler
	text       func(body string, n int) string
	// limit returns the limits that an answer states; nil for none.
	limit        func() []string
	limitRecords []LimitRecord
	senderLookup func(remote string) string
	// selfReport returns what an answer reports about the server; reportRecords are the requests
	// that arrived since it was first set.
	selfReport    func(r *http.Request) SelfReport
	reportRecords []SelfReportRecord
	// answerPause is the pause in the middle of a plain service's answers.
	answerPause time.Duration
	// poisonBody is the body of a request that crashes the server; onCrash is called then.
	poisonBody string
	onCrash    func()
	// poisonPart reports whether a part of a prompt crashes the server, crashDelay after it has
	// started the request.
	poisonPart func(id string) bool
	crashDelay time.Duration
	prefill    time.Duration
	event      time.Duration
	events     int
	running    int
	// slots bounds running requests and holds together; zero for no bound.
	slots int
	// holds are the reserved slots by ID, with the time of each reservation.
	holds map[string]time.Time
	// holdCount counts all holds that were ever reserved.
	holdCount int
	behaviour Behaviour
	// runs are the active runs, oldest first; runCount counts all runs that were started.
	runs         []*run
	runCount     int
	refuseCopies func(stop bool) bool
	// unframed are the open answers that end with their connection.
	unframed map[*unframedStream]bool
	// ended reports whether the server has ended.
	ended bool
	// keptPrompts are the tokens of the prompt parts that the engine keeps, by ID; readTokens
	// counts all prompt tokens that it has prefilled.
	keptPrompts map[string]int
	readTokens  int
	// orders are all received orders, orderCount counts the executed ones, and fence is their
	// highest fencing token.
	orders     []Order
	orderCount uint64
	fence      uint64
}

// StartBackend serves a backend server at addr; port 0 chooses a free port.
func (g *BackendGroup) StartBackend(addr, id, role string, headers backend.Headers) (*Backend, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("standin: start backend server: %w", err)
	}
	b := &Backend{ID: id, Role: role, addr: ln.Addr().String(), headers: headers, group: g, events: 5, event: 2 * time.Millisecond}
	b.srv = &http.Server{Handler: http.HandlerFunc(b.handle), ReadHeaderTimeout: 5 * time.Second, ConnContext: withConn}
	b.wg.Go(func() { _ = b.srv.Serve(duplicatingListener{ln}) })
	return b, nil
}

// ServerName returns the server's name in requests.
func (b *Backend) ServerName() string {
	if b.Name != "" {
		return b.Name
	}
	return b.ID
}

// SetBorn sets the time of the server's start in Unix milliseconds, which it reports from then on.
func (b *Backend) SetBorn(millis int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.born = millis
}

// SetPoisonRequest makes the server crash when it starts a request with the given body, and call
// onCrash then.
func (b *Backend) SetPoisonRequest(body string, onCrash func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.poisonBody, b.onCrash = body, onCrash
}

// SetPoisonParts makes the server crash some time after it has started to generate an answer to a
// prompt with a poisonous part, and call onCrash then.
func (b *Backend) SetPoisonParts(poisonous func(id string) bool, after time.Duration, onCrash func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.poisonPart, b.crashDelay, b.onCrash = poisonous, after, onCrash
}

// Crash ends the server and the connections of all its requests.
func (b *Backend) Crash() {
	b.mu.Lock()
	onCrash := b.onCrash
	b.onCrash = nil
	b.mu.Unlock()
	_ = b.srv.Close()
	b.closeUnframed()
	b.endRuns()
	if onCrash != nil {
		onCrash()
	}
}

// Addr returns the server's IP address and port.
func (b *Backend) Addr() string { return b.addr }

// Kill ends the server and all its runs immediately.
func (b *Backend) Kill() {
	_ = b.srv.Close()
	b.closeUnframed()
	b.endRuns()
	b.wg.Wait()
}

// SetFault sets the function that chooses the fault of each request; nil for none.
func (b *Backend) SetFault(f func(r *http.Request) Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = f
}

// SetPace sets the duration of a prefill, the time between two events, and the number of events of
// an answer.
func (b *Backend) SetPace(prefill, event time.Duration, events int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prefill, b.event, b.events = prefill, event, events
}

// Arrivals returns all requests received so far.
func (b *Backend) Arrivals() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

// Running returns the number of running requests.
func (b *Backend) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(b.headers.RequestID)
	w.Header().Set(b.headers.RequestID, id)
	if strings.HasPrefix(r.URL.Path, HoldPath) || strings.HasPrefix(r.URL.Path, platformHoldPath) {
		b.serveHold(w, r)
		return
	}
	if b.CurrentRole() != "" && r.Method == http.MethodDelete {
		_, _ = b.group.remove(b.addr + "/" + path.Base(r.URL.Path))
		return
	}
	if want := r.Header.Get(b.headers.ExpectInstance); want != "" && want != b.ServerName() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	role := b.CurrentRole()
	if role != "" && b.serveControl(w, r, body) || r.URL.Path == HealthPath {
		return
	}
	b.serveRequest(w, r, id, string(body), role)
}

// serveRequest serves a request of a caller, in contrast to calls about the server itself.
func (b *Backend) serveRequest(w http.ResponseWriter, r *http.Request, id, body, role string) {
	at := b.arrive(r, id, body)
	r = r.WithContext(context.WithValue(r.Context(), bodyKey{}, body))
	fault := b.faultOf(r)
	if fault == Refuse {
		b.refuse(w)
		return
	}
	var kv KVCache
	if role != "" {
		var ok bool
		if kv, ok = b.fetchKV(r, role); !ok || fault == RefuseAfterKVFetch {
			b.refuse(w)
			return
		}
	}
	if r.Header.Get(b.headers.Role) == "prefill" {
		b.servePrefill(w, r)
		return
	}
	if role != "" && !b.admit(r.Header.Get(b.headers.Hold)) {
		b.refuse(w)
		return
	}
	if role != "" {
		b.keepPrompt(r, r.Header.Get(b.headers.KVSource) != "")
	}
	b.begin(at, kv)
	b.answer(w, r, fault, kv, sync.OnceFunc(func() { b.end(at) }))
}

// refuse reports that a request did not run.
func (b *Backend) refuse(w http.ResponseWriter) {
	w.Header().Set(b.headers.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

type bodyKey struct{}

// BodyOf returns the body of a request, which has already been read, to functions that choose its
// fault.
func BodyOf(r *http.Request) string {
	body, _ := r.Context().Value(bodyKey{}).(string)
	return body
}

func (b *Backend) arrive(r *http.Request, id, body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, Arrival{
		ID: id, Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: body, At: time.Now(),
	})
	return len(b.arrivals) - 1
}

func (b *Backend) begin(at int, kv KVCache) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &b.arrivals[at]
	a.Ran = true
	a.Continues = isRunCopy(a.Header.Get(b.headers.KVSource))
	a.Mixed = kv.Request != "" && kv.Request != a.ID
	b.running++
}

func (b *Backend) end(at int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals[at].Ended = time.Now()
	b.running--
}

func (b *Backend) faultOf(r *http.Request) Fault {
	b.mu.Lock()
	f, poisonBody, poisonPart := b.fault, b.poisonBody, b.poisonPart
	b.mu.Unlock()
	if poisonBody != "" && BodyOf(r) == poisonBody {
		return Crash
	}
	if poisonPart != nil && slices.ContainsFunc(PartsOf(r.Header.Get(b.headers.PromptParts)), poisonPart) {
		return Crash
	}
	if f == nil {
		return NoFault
	}
	return f(r)
}

// PartsOf returns the IDs of the parts in a prompt's field.
func PartsOf(field string) []string {
	var out []string
	for part := range strings.SplitSeq(field, ",") {
		id, _, _ := strings.Cut(part, ":")
		out = append(out, id)
	}
	return out
}

// fetchKV reports whether an engine accepts a request in its role, and claims the KV cache that
// the request names, if any.
func (b *Backend) fetchKV(r *http.Request, role string) (KVCache, bool) {
	if (r.Header.Get(b.headers.Role) == "prefill") != (role == "prefill") {
		return KVCache{}, false
	}
	source := r.Header.Get(b.headers.KVSource)
	if source == "" {
		return KVCache{}, true
	}
	return b.group.claim(b.addr, source)
}

func (b *Backend) servePrefill(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	prefillTime := b.prefill
	b.mu.Unlock()
	select {
	case <-time.After(prefillTime):
	case <-r.Context().Done():
		return
	}
	b.keepPrompt(r, false)
	handle := b.group.store(b.addr, "", KVCache{Request: r.Header.Get(b.headers.RequestID)})
	// Both the field of ledgepin's protocol and that of the users' platform.
	fmt.Fprintf(w, `{"handle":%q,"kvHandle":%q,"tokens":1}`, handle, handle)
}

// answer runs a request and answers it as the fault requires. It calls ended when the run has
// ended.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request, fault Fault, kv KVCache, ended func()) {
	if fault != NoSignature {
		w.Header().Set(b.headers.Signature, "signed-"+b.ID)
	}
	if b.CurrentRole() != "" && fault != Crash && fault != Hang && fault != OtherAnswerFirst {
		b.stream(w, r, fault, kv, ended)
		return
	}
	defer ended()
	id := r.Header.Get(b.headers.RequestID)
	switch fault {
	case LoseAnswer:
		reset(w)
	case Crash:
		b.mu.Lock()
		delay := b.crashDelay
		b.mu.Unlock()
		select {
		case <-time.After(delay):
			b.Crash()
		case <-r.Context().Done():
		}
	case Hang:
		<-r.Context().Done()
	case OtherAnswerFirst:
		b.answerOtherFirst(w, id)
	default:
		b.plain(w, r, id)
	}
}

// lingerSetter is a connection whose SO_LINGER can be set; zero makes Close reset it.
type lingerSetter interface{ SetLinger(sec int) error }

// reset closes the connection so that the peer receives a reset.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(lingerSetter); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// answerOtherFirst writes the answer to another request and then the right one.
func (b *Backend) answerOtherFirst(w http.ResponseWriter, id string) {
	c, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	for _, one := range []string{"other-" + id, id} {
		body := "answer to " + one
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed\r\nContent-Length: %d\r\n\r\n%s",
			b.headers.RequestID, one, b.headers.Signature, len(body), body)
	}
	_ = buf.Flush()
}
