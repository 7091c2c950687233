package boundedhttp_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/service"
	"github.com/ledgepin/ledgepin/standin"
	"github.com/ledgepin/ledgepin/vmlist"
	"github.com/ledgepin/ledgepin/wire"
)

// TestClientsGiveUpOnEndlessAnswers has servers send bytes without end to the clients that use the
// library's transport: its default reads 10 MB of a head.
func TestClientsGiveUpOnEndlessAnswers(t *testing.T) {
	stream := func(ctx context.Context, addr string) error {
		s, err := engine.NewClient(addr).Decode(ctx, engine.Request{}, engine.KV{}, 0)
		if err != nil {
			return err
		}
		defer s.Close()
		_, err = s.Next()
		return err
	}
	for _, c := range []struct {
		name  string
		call  func(ctx context.Context, addr string) error
		kinds []standin.Endless
	}{
		{"list of VMs", func(ctx context.Context, addr string) error {
			_, err := vmlist.NewClient(addr).List(ctx)
			return err
		}, []standin.Endless{standin.EndlessBody}},
		{"service", func(ctx context.Context, addr string) error {
			_, _, err := service.NewClient(addr).Do(ctx, service.Call{Method: http.MethodGet, Path: "/"})
			return err
		}, []standin.Endless{standin.EndlessBody}},
		{"call to an engine", func(ctx context.Context, addr string) error {
			_, err := engine.NewClient(addr).Load(ctx)
			return err
		}, []standin.Endless{standin.EndlessBody}},
		{"stream of an engine", stream, standin.EndlessStreams},
		{"link", func(ctx context.Context, addr string) error {
			_, err := wire.Dial(ctx, addr, wire.Options{Log: slog.New(slog.DiscardHandler), Hello: func() wire.Hello { return wire.Hello{Name: "a"} }})
			return err
		}, nil},
	} {
		for _, kind := range append(c.kinds, standin.EndlessStatusLine, standin.EndlessField, standin.EndlessFields, standin.EndlessFolds, standin.EndlessInterim) {
			if kind == standin.EndlessRepeats {
				continue // chunks have no order to their client
			}
			t.Run(c.name+"/"+kind.String(), func(t *testing.T) {
				t.Parallel()
				closed := make(chan struct{})
				endless := standin.WithEndless(backend.DefaultHeaders, func(*http.Request) standin.Endless { return kind })(nil)
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					defer close(closed)
					endless.ServeHTTP(w, r)
				}))
				defer srv.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				started := time.Now()
				err := c.call(ctx, srv.Listener.Addr().String())
				assert.Assert(t, err != nil)
				assert.Assert(t, time.Since(started) < 5*time.Second, "%v: %v", time.Since(started), err)
				<-closed
			})
		}
	}
}
