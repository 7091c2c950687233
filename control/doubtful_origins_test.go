package control

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/origin"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// engineBorn returns the report of an incarnation of engine e1.
func engineBorn(born int64, version string, sequence uint64) registry.Server {
	return registry.Server{
		ID: registry.IncarnationID("e1", born), Name: "e1", Born: born, Service: "llm", Address: "10.0.0.2:1", State: registry.Ready,
		Role: registry.Decode, Version: version, Sequence: sequence,
	}
}

// TestReportsSettleDoubtfulOrigins guards against a replica that passes the record of a stream on as
// certain although the engine may have restarted before the stream began, and against one that stays
// in doubt although its engine has reported since.
func TestReportsSettleDoubtfulOrigins(t *testing.T) {
	k := origin.KeyOf("", "q1")
	for _, tt := range []struct {
		name string
		// age is how long ago the stream began at the engine, which had reported before.
		age time.Duration
		// then is reported after the record has arrived.
		then                      []registry.Server
		certain, doubt, ambiguous bool
	}{
		{"no report since", 0, nil, false, true, false},
		{"a report at once", 0, []registry.Server{engineBorn(1000, "v1", 2)}, false, true, false},
		{"a later report", 2 * time.Second, []registry.Server{engineBorn(1000, "v1", 2)}, true, false, false},
		{"a successor of another version", 0, []registry.Server{engineBorn(2000, "v2", 1)}, false, false, true},
		{"a successor of the same version", 0, []registry.Server{engineBorn(2000, "v1", 1)}, false, false, true},
		{"a later report, then a successor", 2 * time.Second, []registry.Server{engineBorn(1000, "v1", 2), engineBorn(2000, "v2", 1)}, true, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a, b := newHub(nil, "", quota.Bounds{}), newHub(nil, "", quota.Bounds{})
			connectReplicas(t, a, b)
			gatewayA, gatewayB := connectGateways(t, a, 1)[0], connectGateways(t, b, 1)[0]
			for _, h := range []*hub{a, b} {
				_, err := h.report(engineBorn(1000, "v1", 1))
				assert.NilError(t, err)
			}
			server := registry.IncarnationID("e1", 1000)
			assert.NilError(t, gatewayB.link.Send(&wire.Message{Origins: &wire.Origins{Doubtful: []origin.DoubtfulBatch{{Service: "llm", Version: "v1", Server: server, Age: tt.age, Keys: k[:]}}}}))
			gatewayA.wait(t, "the record", func() bool {
				gatewayA.mu.Unlock()
				defer gatewayA.mu.Lock()
				b.tick(clock.VM.Now(), true)
				a.mu.Lock()
				defer a.mu.Unlock()
				return a.origins.table.Len() > 0
			})
			for _, s := range tt.then {
				for _, h := range []*hub{a, b} {
					_, err := h.report(s)
					assert.NilError(t, err)
				}
				for _, h := range []*hub{a, b} {
					h.mu.Lock()
					h.settleOrigins(clock.VM.Now())
					h.mu.Unlock()
				}
			}
			var certain, doubt, ambiguous, unknown, sent bool
			gatewayA.wait(t, "an answer", func() bool {
				gatewayA.mu.Unlock()
				assert.Check(t, gatewayA.link.Send(&wire.Message{Origins: &wire.Origins{Ask: k[:]}}) == nil)
				gatewayA.mu.Lock()
				for _, m := range gatewayA.origins {
					for _, batch := range m.Began {
						certain, ambiguous = certain || !batch.Ambiguous, ambiguous || batch.Ambiguous
					}
					doubt = doubt || len(m.Doubtful) > 0
					unknown = unknown || slices.Contains(origin.SplitKeys(m.Unknown), k)
				}
				_, sent = gatewayA.listed[server]
				return certain || ambiguous || doubt
			})
			assert.Equal(t, certain, tt.certain)
			assert.Equal(t, doubt, tt.doubt)
			assert.Equal(t, ambiguous, tt.ambiguous)
			assert.Equal(t, unknown, tt.doubt, "an older gateway has to take it for unknown")
			assert.Assert(t, !doubt || sent, "the gateway can't ask the engine")
		})
	}
}
