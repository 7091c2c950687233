package service_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/freeport"
	"github.com/ledgepin/ledgepin/service"
)

// TestCallIsNeverSentTwice guards against a call that a service receives twice. The services
// invite a second call: by a redirect, by closing a kept connection, by closing without an
// answer, by never answering. sent must be right for each.
func TestCallIsNeverSentTwice(t *testing.T) {
	closeNow := func(w http.ResponseWriter) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}
	for _, c := range []struct {
		name   string
		serve  func(http.ResponseWriter, *http.Request)
		status int // zero if there is no answer
	}{
		{"answers", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }, http.StatusOK},
		{"redirects", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
		}, http.StatusTemporaryRedirect},
		{"closes without an answer", func(w http.ResponseWriter, _ *http.Request) { closeNow(w) }, 0},
		{"never answers", func(http.ResponseWriter, *http.Request) { time.Sleep(500 * time.Millisecond) }, 0},
		{"answers too much", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, service.MaxBodyBytes+1)) }, 0},
	} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(c.name+" "+method, func(t *testing.T) {
				var calls atomic.Int32
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					calls.Add(1)
					c.serve(w, r)
				}))
				defer srv.Close()
				cl := service.NewClient(srv.Listener.Addr().String())
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer cancel()
				a, sent, err := cl.Do(ctx, service.Call{Method: method, Path: "/checkout", Body: []byte("x")})
				assert.Assert(t, sent)
				assert.Equal(t, calls.Load(), int32(1))
				assert.Equal(t, a.Status, c.status)
				assert.Equal(t, err == nil, c.status != 0)
			})
		}
	}
}

func TestDialFailureIsReportedAsNotSent(t *testing.T) {
	addr := freeport.Addr(t)
	_, sent, err := service.NewClient(addr).Do(t.Context(), service.Call{Method: http.MethodPost, Path: "/checkout"})
	assert.Assert(t, !sent)
	assert.Assert(t, fault.Is(err, fault.ServiceFailed))
	assert.Assert(t, strings.Contains(err.Error(), addr), "%v", err)
}
