package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// testLinks returns the links of a gateway in zone z1 to replicas in the given zones, by address.
func testLinks(zones map[string]string) *links {
	g := &Gateway{cfg: Config{Zone: "z1"}, fleet: newFleet(nil, "g", "z1", nil, dispatch.Budget{})}
	l := &links{g: g, peers: map[string]*peer{}, gateways: map[string]int{}, partitioned: map[string]bool{}, rosters: map[string]*registry.Roster{}}
	for address, zone := range zones {
		l.peers[address] = &peer{link: &wire.Link{Peer: wire.Hello{Zone: zone}}}
	}
	return l
}

// TestChooseHub checks that a gateway shares its state with a replica in its own availability zone
// while that is connected, else with the leader, else with any replica.
func TestChooseHub(t *testing.T) {
	for _, c := range []struct {
		name, leader string
		zones        map[string]string
		partitioned  []string
		want         string
	}{
		{"own zone", "b", map[string]string{"a": "z2", "b": "z3", "c": "z1"}, nil, "c"},
		{"two replicas in its zone", "b", map[string]string{"b": "z2", "d": "z1", "c": "z1"}, nil, "c"},
		{"own zone is partitioned", "b", map[string]string{"a": "z2", "b": "z3", "c": "z1"}, []string{"c"}, "b"},
		{"the previous leader is partitioned too", "b", map[string]string{"a": "z2", "b": "z3", "c": "z1", "d": "z4"}, []string{"b", "c"}, "a"},
		{"all are partitioned", "", map[string]string{"b": "z2", "c": "z1"}, []string{"b", "c"}, "b"},
		{"no replica in its zone", "b", map[string]string{"a": "z2", "b": "z3"}, nil, "b"},
		{"no leader", "", map[string]string{"a": "z2", "b": "z3"}, nil, "a"},
		{"no replica", "a", nil, nil, ""},
	} {
		l := testLinks(c.zones)
		l.leader = c.leader
		for _, a := range c.partitioned {
			l.partitioned[a] = true
		}
		assert.Equal(t, l.chooseHub(clock.VM.Now()), c.want, c.name)
	}
}

// TestLoadsRemainWhileHubChanges checks that the loads received of other gateways remain in force
// until the new hub has sent a complete report, and that a replica which is not the hub changes
// nothing.
func TestLoadsRemainWhileHubChanges(t *testing.T) {
	l := testLinks(map[string]string{"a": "z1", "b": "z2"})
	update := func(address string, complete bool, tokens int) {
		l.updateLoads(address, &wire.Loads{Gateways: 4, Whole: complete, List: []wire.EngineLoad{{Server: "e", Tokens: tokens}}})
	}
	l.hub = "a"
	update("a", true, 10)
	update("a", false, 20)
	l.hub = "b"
	update("b", false, 30)
	update("a", false, 40)
	assert.Equal(t, l.others.loads["e"].Tokens, 20)
	update("b", true, 50)
	assert.Equal(t, l.others.loads["e"].Tokens, 50)
}

// TestAliveServersArePerReplica checks that a replica's report of alive servers applies to the
// servers that it has reported, and to no others.
func TestAliveServersArePerReplica(t *testing.T) {
	l := testLinks(nil)
	ready := func(id string) registry.Server { return registry.Server{ID: id, State: registry.Ready} }
	l.aliveServers("a", &wire.Servers{List: []registry.Server{ready("s1"), ready("s2")}})
	l.aliveServers("b", &wire.Servers{List: []registry.Server{ready("other")}})
	assert.DeepEqual(t, l.aliveServers("a", &wire.Servers{Alive: true, Silent: []string{"s2"}}), []string{"s1"})
}

// TestNewHubForgetsEarlierServers checks that a replica which becomes the hub again does not count
// as reporting servers that it reported the last time: one of them may be gone since.
func TestNewHubForgetsEarlierServers(t *testing.T) {
	l := testLinks(map[string]string{"a": "z2"})
	ready := func(id string) registry.Server { return registry.Server{ID: id, State: registry.Ready} }
	l.setHub("a")
	l.aliveServers("a", &wire.Servers{List: []registry.Server{ready("old"), ready("kept")}})
	l.setHub("b")
	l.setHub("a")
	l.aliveServers("a", &wire.Servers{List: []registry.Server{ready("kept")}})
	assert.DeepEqual(t, l.aliveServers("a", &wire.Servers{Alive: true}), []string{"kept"})
}

// TestHubWaitsForReplicaInOwnZone checks that a gateway whose links have just opened chooses no hub
// in another zone until the replica in its own has had time to connect.
func TestHubWaitsForReplicaInOwnZone(t *testing.T) {
	now := clock.VM.Now()
	l := testLinks(map[string]string{"a": "z2", "b": "z1"})
	own := l.peers["b"]
	delete(l.peers, "b")
	l.peers["a"].openedAt = now.Add(-hubWait / 2)
	assert.Equal(t, l.chooseHub(now), "")
	assert.Equal(t, l.chooseHub(now.Add(hubWait)), "a", "no replica in its own zone has connected")
	own.openedAt = now
	l.peers["b"] = own
	assert.Equal(t, l.chooseHub(now), "b")
}

// TestDemandOfSilentReplicaExpires guards against a gateway that goes on waiting for the requests
// of others after its replica has died: the last list is valid for a second, then the gateway acts
// as if nothing else waited, and keeps what it knows about reservations. The next replica sends a
// complete list.
func TestDemandOfSilentReplicaExpires(t *testing.T) {
	l := testLinks(map[string]string{"a": "z1", "b": "z2"})
	report := &wire.Loads{
		Whole: true, Gateways: 5, Queued: 4, Demand: []demand.Class{{Service: "llm", Waiting: 4}},
		List: []wire.EngineLoad{{Server: "e", Tokens: 100, Runs: 1}},
	}
	l.hub = "a"
	l.updateLoads("a", report)
	others := func(at time.Duration) dispatch.OtherGateways {
		l.others.receivedAt = clock.VM.Now().Add(-at)
		l.peers["a"].lastReceived = l.others.receivedAt
		l.updateOthers()
		return l.g.fleet.view.Others
	}
	assert.Equal(t, others(900*time.Millisecond).Queued, 4)
	assert.Equal(t, len(others(900*time.Millisecond).Demand), 1)
	expired := others(1100 * time.Millisecond)
	assert.Assert(t, l.demandExpired && expired.Queued == 0 && expired.Demand == nil)
	assert.Equal(t, expired.Loads["e"].Tokens, 100)
	l.peers["a"].lastReceived = clock.VM.Now()
	assert.Assert(t, !l.expired(clock.VM.Now()), "an unchanged list needs no message but the heartbeat")
	l.peers["a"].link = nil
	assert.Assert(t, l.expired(clock.VM.Now()))
	l.hub = "b"
	l.updateLoads("b", report)
	l.updateOthers()
	assert.Equal(t, l.g.fleet.view.Others.Queued, 4)
}
