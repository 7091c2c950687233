package app_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/app"
	"github.com/ledgepin/ledgepin/caller"
)

// TestBadInputGetsTypedErrors sends invalid requests. Each must get an error with
// its code and without internal addresses, and must hold no memory afterwards.
func TestBadInputGetsTypedErrors(t *testing.T) {
	d := startDev(t, app.DevOptions{BodyTimeout: 300 * time.Millisecond})
	url := "http://" + d.Callers[0]
	for _, c := range []struct {
		name, path, token, body string
		status                  int
		code                    string
	}{
		{"malformed", "/v1/completions", app.DevDeskToken, `{"model"`, http.StatusBadRequest, "bad_request"},
		{"unknown parameter", "/v1/completions", app.DevDeskToken, `{"model":"assist","prompt":"x","best_of":2}`, http.StatusBadRequest, "unsupported_parameter"},
		{"unknown model", "/v1/completions", app.DevDeskToken, `{"model":"x","prompt":"x"}`, http.StatusNotFound, "unknown_model"},
		{"no token", "/v1/completions", "", `{}`, http.StatusUnauthorized, "unauthorized"},
		{"long prompt", "/v1/completions", app.DevDeskToken, `{"model":"assist","prompt":"` + strings.Repeat("a", 1<<20) + `"}`,
			http.StatusRequestEntityTooLarge, "prompt_too_long"},
		{"huge body", "/v1/completions", app.DevDeskToken, strings.Repeat("a", caller.MaxBodyBytes+1), http.StatusRequestEntityTooLarge, "prompt_too_long"},
		{"unknown service", "/services/none/x", app.DevDeskToken, ``, http.StatusNotFound, "unknown_service"},
		{"unknown path", "/v2/x", app.DevDeskToken, ``, http.StatusNotFound, "not_found"},
		{"long key", "/services/licence/checkout", app.DevDeskToken, `{}`, http.StatusBadRequest, "bad_request"},
	} {
		t.Run(c.name, func(t *testing.T) {
			key := ""
			if c.name == "long key" {
				key = strings.Repeat("k", 300)
			}
			status, got := post(t, url+c.path, c.token, key, c.body)
			assert.Equal(t, status, c.status, got)
			e := errorOf(t, got)
			assert.Equal(t, e.Code, c.code)
			assert.Assert(t, e.NotRun)
		})
	}
	t.Run("slow body", func(t *testing.T) {
		r, w := io.Pipe()
		go func() {
			for range 100 {
				if _, err := w.Write([]byte(" ")); err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
			_ = w.Close()
		}()
		defer r.Close()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/completions", r)
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+app.DevDeskToken)
		begin := time.Now()
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
			text, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			assert.Assert(t, !strings.Contains(string(text), "127.0.0.1"), "the error contains a socket address: %s", text)
		}
		assert.Assert(t, time.Since(begin) < 1500*time.Millisecond, "the body was read for longer than the timeout")
	})
	assert.Equal(t, len(d.Held()), 0)
}
