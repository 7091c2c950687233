package engine_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/engine"
)

// FuzzAnswers feeds arbitrary bodies to the parsers of an engine's answers: nothing of an
// unreadable answer may be used.
func FuzzAnswers(f *testing.F) {
	for _, seed := range []string{`{"running":1,"slots":8,"models":["m"],"role":"decode"}`, `["q.1",2]`, `[{"seq":9},{"seq":-1}]`, `{"kv":{},"cached_tokens":"x"}`, `null`, ""} {
		f.Add([]byte(seed))
	}
	var body []byte
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	f.Cleanup(srv.Close)
	c := engine.NewClient(strings.TrimPrefix(srv.URL, "http://"))
	f.Fuzz(func(t *testing.T, data []byte) {
		body = data
		if events, err := c.CacheEvents(t.Context(), 0); err != nil {
			assert.Equal(t, len(events), 0)
		}
		if running, err := c.Running(t.Context()); err != nil {
			assert.Equal(t, len(running), 0)
		}
		if load, err := c.Load(t.Context()); err != nil {
			assert.DeepEqual(t, load, engine.Load{})
		}
		if kv, err := c.Prefill(t.Context(), engine.Request{}); err != nil {
			assert.DeepEqual(t, kv, engine.Prefilled{})
		}
	})
}
