package control

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/standin"
)

// TestEndlessAnswersToControl has an engine answer the calls of control, such as orders of a role,
// without end.
func TestEndlessAnswersToControl(t *testing.T) {
	for _, kind := range append([]standin.Endless{standin.EndlessBody, standin.EndlessTrailer}, standin.EndlessHeads...) {
		t.Run(kind.String(), func(t *testing.T) {
			b, err := standin.NewBackendGroup().StartBackend("127.0.0.1:0", "e1", "decode", backend.DefaultHeaders)
			assert.NilError(t, err)
			t.Cleanup(b.Kill)
			b.SetMiddleware(standin.WithEndless(backend.DefaultHeaders, func(*http.Request) standin.Endless { return kind }))
			c := &Control{cfg: Config{Roles: RoleConfig{Protocol: &backend.Protocol{Headers: backend.DefaultHeaders}}}}
			pool := backend.NewPool()
			t.Cleanup(pool.Close)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			started := time.Now()
			_, _, err = c.call(ctx, pool, registry.Server{ID: "e1", Address: b.Addr()}, backend.Call{Method: http.MethodGet, Path: "/report"})
			if kind == standin.EndlessTrailer {
				assert.ErrorContains(t, err, "long trailer") // the bound of net/http
			} else {
				assert.ErrorIs(t, err, backend.ErrTooLong)
			}
			assert.Assert(t, time.Since(started) < 2*time.Second, "%v", time.Since(started))
		})
	}
}
