package control

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// dialOlderGateway opens the link of a gateway of the previous build, which handles only
// servers and changes of their roles.
func dialOlderGateway(t *testing.T, h *hub, view *dispatch.Fleet) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := wire.Accept(w, r, wire.Options{Hello: func() wire.Hello { return wire.Hello{Name: "control", Role: wire.RoleControl} }})
		if err == nil {
			h.addGateway(l, true)
			_ = l.Run(r.Context(), func(*wire.Message) {})
		}
	}))
	t.Cleanup(server.Close)
	link, err := wire.Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), wire.Options{
		Versions: compat.Range{Least: compat.Base, Most: wire.EvacuationsVersion - 1},
		Hello:    func() wire.Hello { return wire.Hello{Name: "g", Role: wire.RoleGateway} },
	})
	assert.NilError(t, err)
	t.Cleanup(link.Close)
	go func() {
		_ = link.Run(t.Context(), func(m *wire.Message) {
			if m.Evacuated != nil {
				t.Error("received an evacuation, which its build does not support")
			}
			if m.Servers == nil {
				return
			}
			h.mu.Lock() // guards both views
			defer h.mu.Unlock()
			view.Update(clock.VM.Now(), m.Servers.List)
			for _, a := range m.Servers.Away {
				view.BeginRoleChange(clock.VM.Now(), a.Server, a.Role, a.For)
			}
		})
	}()
}

// TestOlderGatewaysAvoidEvacuatedZone evacuates a zone while a gateway runs the previous
// build, which does not support evacuations. The gateway must not use any server of the
// zone, including one that reports later, and must use the zone again afterwards.
func TestOlderGatewaysAvoidEvacuatedZone(t *testing.T) {
	h := newHub(nil, "", quota.Bounds{})
	view := dispatch.NewFleet("g", "")
	report := func(id, zone, role string) {
		_, err := h.report(registry.Server{ID: id, Service: "s", Zone: zone, Role: role, State: registry.Ready, Address: id + ":1", Sequence: 1})
		assert.NilError(t, err)
	}
	report("plain", "z", "")
	report("engine", "z", registry.Decode)
	report("other", "y", "")
	dialOlderGateway(t, h, view)
	awaitListed := func(want ...string) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			h.tick(clock.VM.Now(), true)
			h.mu.Lock()
			defer h.mu.Unlock()
			var got []string
			for _, id := range []string{"engine", "late", "other", "plain"} {
				if view.Available(clock.VM.Now(), id) {
					got = append(got, id)
				}
			}
			if strings.Join(got, " ") != strings.Join(want, " ") {
				return poll.Continue("%v, want %v", got, want)
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	}
	awaitListed("engine", "other", "plain")
	h.setEvacuated(1, []fleet.EvacuatedZone{{Zone: "z"}})
	awaitListed("other")
	report("late", "z", "")
	report("known", "y", "")
	poll.WaitOn(t, func(poll.LogT) poll.Result { // the gateway receives the new server and avoids it
		h.tick(clock.VM.Now(), true)
		h.mu.Lock()
		defer h.mu.Unlock()
		if view.Get("late") == nil || view.Available(clock.VM.Now(), "late") {
			return poll.Continue("the server of the evacuated zone is used")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	h.setEvacuated(2, nil)
	awaitListed("engine", "late", "other", "plain")
}
