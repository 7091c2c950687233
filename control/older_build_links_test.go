package control_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// dialOldGateway opens a link to a replica with the hello of a gateway of an older build.
func dialOldGateway(t *testing.T, n *node) *websocket.Conn {
	t.Helper()
	hello, err := os.ReadFile(filepath.Join("..", "wire", "testdata", "55b4ff8", "hello-gateway.cbor"))
	assert.NilError(t, err)
	conn, _, err := websocket.Dial(t.Context(), "ws://"+n.addr+wire.Path, nil)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.CloseNow() })
	assert.NilError(t, conn.Write(t.Context(), websocket.MessageBinary, hello))
	return conn
}

// TestOldGatewaysAreServed checks that a gateway of an older build receives the newest
// table and the servers while a gateway with incompatible versions is refused, and that the
// group continues to accept tables and reports.
func TestOldGatewaysAreServed(t *testing.T) {
	c := newCluster(t, 3)
	c.put(1)
	n := c.nodes[0]
	reported := func() bool {
		n.proc.Report(server("s1", registry.Ready, 1))
		return serverStates(n)["s1"] == registry.Ready
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !reported() {
			return poll.Continue("not started")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	conn := dialOldGateway(t, n)
	dialIncompatible := func() {
		_, err := wire.Dial(t.Context(), n.addr, wire.Options{Versions: compat.Single(11), Hello: func() wire.Hello {
			return wire.Hello{Name: "apart", Role: wire.RoleGateway, Zone: "z"}
		}})
		assert.Assert(t, fault.Is(err, fault.VersionsApart), "%v", err)
	}
	var version uint64
	servers := map[string]bool{}
	awaitTable := func(table uint64) {
		t.Helper()
		for version < table || !servers["s1"] {
			_, frame, err := conn.Read(t.Context())
			assert.NilError(t, err)
			m, err := wire.Unmarshal(frame, "control")
			assert.NilError(t, err)
			if m.Routes != nil && m.Routes.Table != nil {
				version = m.Routes.Table.Version
			}
			if m.Servers != nil {
				for _, s := range m.Servers.List {
					servers[s.ID] = true
				}
			}
			// Like a gateway, it sends messages that keep the link alive and requests what
			// it lacks.
			if m.Routes != nil && m.Routes.Version > version {
				ask, err := wire.Marshal(&wire.Message{Routes: &wire.Routes{Version: version}})
				assert.NilError(t, err)
				assert.NilError(t, conn.Write(t.Context(), websocket.MessageBinary, ask))
			}
		}
	}
	assert.NilError(t, conn.Write(t.Context(), websocket.MessageBinary, must(wire.Marshal(&wire.Message{Loads: &wire.Loads{Whole: true}}))))
	awaitTable(1)
	dialIncompatible()
	c.put(2)
	dialIncompatible()
	awaitTable(2)
	assert.Assert(t, reported())
}

func must(frame []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return frame
}
