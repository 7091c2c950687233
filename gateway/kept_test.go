package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/standin"
)

// promptParts is a prompt of 1,000 tokens in two parts.
var promptParts = map[string]string{
	protocol.Headers.Tokens: "1000,500", protocol.Headers.LengthHint: "5", protocol.Headers.PromptParts: "shared:200,own:800",
}

// with returns a copy of header fields with one more.
func with(fields map[string]string, name, value string) map[string]string {
	out := map[string]string{name: value}
	for k, v := range fields {
		out[k] = v
	}
	return out
}

// startKept starts a rig with two engines of each role.
func startKept(t *testing.T) *rig {
	r := newRig(t)
	r.gateway.cacheListTimeout = 10 * time.Second // no list is late because the machine is busy
	for _, id := range []string{"p1", "p2"} {
		r.add("llm", id, "prefill")
	}
	for _, id := range []string{"d1", "d2"} {
		r.add("llm", id, "decode")
	}
	return r
}

// reads returns how many prompts prefill engines were given, and the tokens that all
// engines have read.
func (r *rig) reads() (prompts, tokens int) {
	for _, b := range r.servers {
		tokens += b.Read()
		for _, a := range b.Arrivals() {
			if a.Header.Get(protocol.Headers.Role) != "" {
				prompts++
			}
		}
	}
	return prompts, tokens
}

// wantOneRead wants one prompt to have been read, once.
func (r *rig) wantOneRead() {
	r.t.Helper()
	prompts, tokens := r.reads()
	assert.Equal(r.t, prompts, 1)
	assert.Equal(r.t, tokens, 1000)
}

// rest is a stream from the event after one on.
func rest(after int) string {
	return wholeStream()[strings.Index(wholeStream(), fmt.Sprintf("id: %d\n", after+1)):]
}

// TestResumedWhereThePromptIsKept has callers come back whose gateway was lost: a
// gateway that has never seen them finds the engines that keep their prompts.
func TestResumedWhereThePromptIsKept(t *testing.T) {
	r := startKept(t)
	got := r.send("POST", "/desk/1", "q1", "x", promptParts)
	assert.Equal(t, got.body, wholeStream())
	r.wantOneRead()
	for i := range 4 {
		got = r.send("POST", "/desk/1", fmt.Sprint("again", i), "x", with(promptParts, protocol.Headers.LastEventID, "2"))
		assert.Equal(t, got.body, rest(2))
	}
	r.wantOneRead()
}

// TestReadAnewIfNothingIsKept has the engines give up what they kept, or not tell it: a
// caller who comes back is served all the same.
func TestReadAnewIfNothingIsKept(t *testing.T) {
	tests := []struct {
		name string
		lose func(r *rig)
	}{
		{"forgotten", func(r *rig) {
			for _, b := range r.servers {
				b.Forget()
			}
		}},
		{"no engine can tell", func(r *rig) { r.gateway.cfg.Protocol.ListKept = nil }},
		{"lists that can't be read", func(r *rig) {
			r.gateway.cfg.Protocol.ParseKept = func([]byte) ([]route.PromptPart, error) { return nil, io.ErrUnexpectedEOF }
		}},
		{"engines that do not answer", func(r *rig) {
			const silent = "/review/silent"
			r.gateway.cacheListTimeout = cacheListTimeout
			r.gateway.cfg.Protocol.ListKept = func() backend.Call { return backend.Call{Method: http.MethodGet, Path: silent} }
			for _, b := range r.servers {
				b.SetFault(func(r *http.Request) standin.Fault {
					if r.URL.Path == silent {
						return standin.Hang
					}
					return standin.NoFault
				})
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := startKept(t)
			assert.Equal(t, r.send("POST", "/desk/1", "q1", "x", promptParts).body, wholeStream())
			tt.lose(r)
			got := r.send("POST", "/desk/1", "again", "x", with(promptParts, protocol.Headers.LastEventID, "2"))
			assert.Equal(t, got.body, rest(2))
		})
	}
}

// TestBrokenStreamReadsNothingAgain cuts a stream that may be resumed: it goes on, and
// its prompt is not read a second time, though the engine that read it looks slow.
func TestBrokenStreamReadsNothingAgain(t *testing.T) {
	r := startKept(t)
	cut := first(standin.CutStream, isDecode)
	for _, id := range []string{"d1", "d2"} {
		r.servers[id].SetFault(func(req *http.Request) standin.Fault {
			for _, p := range []string{"p1", "p2"} {
				if r.servers[p].Read() > 0 {
					r.gateway.fleet.notePrefill(p, 10*time.Second, 1000)
				}
			}
			return cut(req)
		})
	}
	got := r.send("POST", "/desk/1", "q1", "x", promptParts)
	assert.Equal(t, got.body, wholeStream())
	_, tokens := r.reads()
	assert.Equal(t, tokens, 1000)
}

// TestKeptListsOutliveTheirCaller wants what engines keep to be known to the requests
// that come together, though the caller of the one that asked leaves meanwhile.
func TestKeptListsOutliveTheirCaller(t *testing.T) {
	r := startKept(t)
	assert.Equal(t, r.send("POST", "/desk/1", "q1", "x", promptParts).body, wholeStream())
	asked, leave := make(chan struct{}), make(chan struct{})
	list := r.gateway.cfg.Protocol.ListKept
	var once sync.Once
	r.gateway.cfg.Protocol.ListKept = func() backend.Call {
		once.Do(func() {
			close(asked)
			<-leave
		})
		return list()
	}
	again := with(promptParts, protocol.Headers.LastEventID, "2")
	ctx, cancel := context.WithCancel(t.Context())
	gone := make(chan reply, 1)
	go func() { gone <- r.sendWith(ctx, "POST", "/desk/1", "leaves", "x", again) }()
	<-asked
	cancel()
	<-gone
	close(leave)
	assert.Equal(t, r.send("POST", "/desk/1", "stays", "x", again).body, rest(2))
	r.wantOneRead()
}

// TestFailedListTellsItsCause wants the error of a list that did not come to say why.
func TestFailedListTellsItsCause(t *testing.T) {
	r := startKept(t)
	q := &request{id: "q1", service: r.gateway.table.Load().Service("llm")}
	engines := r.gateway.fleet.eligibleNearby("llm")
	for _, b := range r.servers {
		b.Kill()
	}
	for _, s := range engines {
		_, err := r.gateway.listCachedAt(t.Context(), q, &s)
		var cause *backend.Error
		assert.Assert(t, errors.As(err, &cause), "%v", err)
	}
}
