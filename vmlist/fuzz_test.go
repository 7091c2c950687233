package vmlist_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/ledgepin/ledgepin/vmlist"
)

// FuzzList feeds arbitrary answers to the parser of the platform's list.
func FuzzList(f *testing.F) {
	for _, seed := range []string{`[{"name":"a","address":"127.0.0.1","state":"live"}]`, `[]`, `null`, `{}`, `[{"name":1}]`, `[]x`, ""} {
		f.Add([]byte(seed))
	}
	var body []byte
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	f.Cleanup(srv.Close)
	c := vmlist.NewClient(strings.TrimPrefix(srv.URL, "http://"))
	f.Fuzz(func(t *testing.T, data []byte) {
		body = data
		vms, err := c.List(t.Context())
		if err != nil && len(vms) > 0 {
			t.Fatalf("%d VMs and %v", len(vms), err)
		}
	})
}
