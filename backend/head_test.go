package backend_test

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/backend"
)

// TestControlCharactersAreNotSent guards against a text of a server, such as its name, that adds
// fields or requests to what another one receives. Nothing is sent, and no connection is opened.
func TestControlCharactersAreNotSent(t *testing.T) {
	p := backend.NewPool()
	defer p.Close()
	for name, change := range map[string]func(*backend.Request){
		"line break in a field":  func(r *backend.Request) { r.Header.Set("X-Expect-Instance", "a\nX-Hold: 1") },
		"NUL in a field":         func(r *backend.Request) { r.Header.Set("X-KV-Source", "a\x00") },
		"line break in a target": func(r *backend.Request) { r.Target = "/kv/a\r\n\r\nGET /" },
		"space in a target":      func(r *backend.Request) { r.Target = "/kv/a HTTP/1.1" },
		"line break in a host":   func(r *backend.Request) { r.Host = "h\r\nX: 1" },
	} {
		r := backend.Request{Address: "127.0.0.1:1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ID: "r1", MaxConnections: 1}
		change(&r)
		_, err := p.Do(t.Context(), &backend.DefaultHeaders, r)
		assert.Assert(t, errors.Is(err, backend.ErrInvalidHead), "%s: %v", name, err)
		assert.Assert(t, !backend.WasSent(err), name)
		assert.Assert(t, backend.WithheldByGateway(err), name)
	}
}
