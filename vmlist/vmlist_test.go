package vmlist_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/internal/dupserver"
	"github.com/ledgepin/ledgepin/vmlist"
)

// TestLateAnswerIsNotReturnedToNextRequest guards against a late earlier list that is returned as
// the current one.
func TestLateAnswerIsNotReturnedToNextRequest(t *testing.T) {
	lists := make(chan string, 2)
	srv := dupserver.New(t, func(string, string, string) dupserver.Response {
		return dupserver.Response{Status: http.StatusOK, Type: "application/json", Body: <-lists}
	})
	c := vmlist.NewClient(srv.Addr())
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for _, want := range []vmlist.State{vmlist.Live, vmlist.Leaving} {
		lists <- `[{"name":"a","address":"127.0.0.1","state":"` + string(want) + `"}]`
		vms, err := c.List(ctx)
		assert.NilError(t, err)
		assert.DeepEqual(t, vms, []vmlist.VM{{Name: "a", Address: "127.0.0.1", State: want}})
	}
}

// TestUnreadableListIsNotUsed checks that nothing of a list that is invalid, or has trailing
// data, is used.
func TestUnreadableListIsNotUsed(t *testing.T) {
	for _, body := range []string{`[{"name":"a","address":"127.0.0.1","state":"live"},{"name":1}]`, `[]x`, `[{"name":"a"}`, ""} {
		srv := dupserver.New(t, func(string, string, string) dupserver.Response {
			return dupserver.Response{Status: http.StatusOK, Type: "application/json", Body: body}
		})
		vms, err := vmlist.NewClient(srv.Addr()).List(t.Context())
		assert.Assert(t, err != nil && len(vms) == 0, "%q: %v %v", body, vms, err)
	}
}
