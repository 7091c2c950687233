package backend_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/backend"
)

// TestLateBodyIsNotReadAsHeadAnswer guards against the body of a late answer to a GET that is
// parsed as the answer to a HEAD: a caller or a server controls its content.
func TestLateBodyIsNotReadAsHeadAnswer(t *testing.T) {
	text := "HTTP/1.1 204 No Content\r\nX-Request-Id: two\r\nX-Forged: yes\r\n\r\n"
	r := lateBeforeSecond(t, completeAnswer("one", "", text))
	p := backend.NewPool()
	defer p.Close()
	_, err := r.ask(p, "one", "/first")
	assert.NilError(t, err)
	req := backend.Request{Address: r.ln.Addr().String(), Method: "HEAD", Target: "/second", Host: "h", ID: "two",
		Header: map[string][]string{backend.DefaultHeaders.RequestID: {"two"}}}
	a, err := p.Do(t.Context(), &backend.DefaultHeaders, req)
	if err != nil {
		return
	}
	defer a.Close()
	assert.Check(t, a.Header.Get("X-Forged") == "", "status %d, %v", a.Status, a.Header)
}
