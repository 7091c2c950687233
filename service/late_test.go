package service_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/internal/dupserver"
	"github.com/ledgepin/ledgepin/service"
)

// TestLateAnswerIsNotReturnedToNextRequest checks that each call gets its own answer, not the one
// to the call before it.
func TestLateAnswerIsNotReturnedToNextRequest(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			srv := dupserver.New(t, func(_, target, _ string) dupserver.Response {
				return dupserver.Response{Status: http.StatusOK, Type: "text/plain", Body: target}
			})
			c := service.NewClient(srv.Addr())
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			for _, path := range []string{"/first", "/second", "/third"} {
				a, sent, err := c.Do(ctx, service.Call{Method: method, Path: path, Body: []byte("x")})
				assert.NilError(t, err)
				assert.Assert(t, sent)
				assert.Equal(t, string(a.Body), path)
			}
		})
	}
}

// BenchmarkDo makes small calls in sequence; the results include the service's work.
func BenchmarkDo(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	defer srv.Close()
	c := service.NewClient(srv.Listener.Addr().String())
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := c.Do(b.Context(), service.Call{Method: http.MethodPost, Path: "/", Body: []byte("x")}); err != nil {
			b.Fatal(err)
		}
	}
}
