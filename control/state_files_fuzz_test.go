package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/poison"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// FuzzStateFiles checks that a replica starts whatever the files beside its log contain,
// and that a valid server stays listed.
func FuzzStateFiles(f *testing.F) {
	seed := func(m *wire.Message) {
		data, err := wire.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	server := registry.Server{ID: "i", Service: "s", Address: "10.0.0.1:80", State: registry.Ready, Sequence: 4}
	seed(&wire.Message{Servers: &wire.Servers{
		List: []registry.Server{server, {ID: registry.IncarnationID("j", 7), Name: "j", Born: 7, State: registry.Gone}, {ID: "k", State: "odd", Age: -time.Hour}},
		Away: []wire.Away{{Server: "i", Role: registry.Prefill, For: -time.Hour}},
	}})
	seed(&wire.Message{Contents: []poison.Record{{Endings: []poison.Ending{{Server: "i", Age: -time.Hour, Ran: time.Hour}, {Server: "", Excused: true}}}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		h := newHub(nil, "z", quota.Bounds{})
		valid := registry.Server{ID: "right", Service: "s", Address: "10.0.0.2:80", State: registry.Ready, Sequence: 1}
		now := clock.VM.Now()
		_, err := h.recordReport(now, valid)
		assert.NilError(t, err)
		if m, err := wire.Unmarshal(data, "file"); err == nil {
			_, _ = h.restoreServers(now, m)
			_, _ = h.restoreContents(now, m)
		}
		h.tick(now.Add(time.Second), true)
		h.takeUnsavedServers(now)
		h.takeUnsavedContents(now)
		_, known := h.servers.Get("right")
		assert.Assert(t, known)
	})
}
