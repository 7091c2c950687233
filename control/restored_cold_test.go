package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/registry"
)

// TestColdServerStaysColdAfterRestart saves a cold server and restores it in a replica that has just
// started. It guards against a cold server that counts as warm after all replicas have restarted.
func TestColdServerStaysColdAfterRestart(t *testing.T) {
	saved := newHub(nil, "", quota.Bounds{})
	now := clock.VM.Now()
	s := registry.Server{ID: "a", Service: "s", Address: "10.0.0.1:1", Zone: "z", State: registry.Ready, Sequence: 1, Cold: 3 * time.Second}
	_, err := saved.recordReport(now, s)
	assert.NilError(t, err)
	for _, tt := range []struct{ savedAfter, remaining time.Duration }{{0, 3 * time.Second}, {time.Second, 2 * time.Second}, {4 * time.Second, 0}} {
		restored := newHub(nil, "", quota.Bounds{})
		at := now.Add(tt.savedAfter)
		saved.markServersUnsaved()
		_, ok := restored.restoreServers(at, saved.takeUnsavedServers(at))
		assert.Assert(t, ok)
		list := restored.servers.List(at)
		assert.Equal(t, len(list), 1)
		assert.Equal(t, max(list[0].Cold-list[0].Age, 0), tt.remaining)
	}
}
