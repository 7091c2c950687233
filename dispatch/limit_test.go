package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/ratelimit"
	"github.com/ledgepin/ledgepin/registry"
)

// limitedFleet returns a fleet of plain servers, of which all but the last have reported a
// limit.
func limitedFleet(now time.Time, servers ...string) *Fleet {
	f := NewFleet("g", "z")
	var list []registry.Server
	for _, id := range servers {
		list = append(list, registry.Server{ID: id, Service: "plain", Zone: "z", State: registry.Ready, Address: id + ":1", Sequence: 1})
	}
	f.Update(now, list)
	for _, id := range servers[:len(servers)-1] {
		f.ObserveLimit(now, id, ratelimit.Observation{Limited: true, Rate: 4, Sent: now, Received: now})
	}
	return f
}

var plainWork = Work{Service: "plain"}

// TestLimitedServersGetNoRequestsWithoutTokens checks that servers that report limits are
// chosen as often as there are tokens for them, and that the others get the rest at once.
func TestLimitedServersGetNoRequestsWithoutTokens(t *testing.T) {
	now := time.Unix(1000, 0)
	f := limitedFleet(now, "a", "b", "c")
	got := map[string]int{}
	choose := func() {
		s := f.ChoosePlain(now, plainWork, nil)
		assert.Assert(t, s != nil)
		s.Open++
		f.NoteSent(now, s.ID)
		got[s.ID]++
	}
	for range 10 {
		choose()
	}
	assert.DeepEqual(t, got, map[string]int{"c": 10})
	f.GrantTokens(now, "a", ratelimit.Token{Owner: "o"}, 2, time.Second)
	for range 10 {
		choose()
	}
	assert.DeepEqual(t, got, map[string]int{"a": 2, "c": 18})
	assert.Assert(t, !f.LacksOnlyToken(now, plainWork, Avoid{"a": true, "b": true, "c": true}))
	f.MarkGone("c")
	assert.Assert(t, f.ChoosePlain(now, plainWork, nil) == nil)
	assert.Assert(t, f.LacksOnlyToken(now, plainWork, nil))
}

// TestServerWithTokenIsFoundInLargeGroup guards against a choice that misses the only server
// of many for which there is a token.
func TestServerWithTokenIsFoundInLargeGroup(t *testing.T) {
	now := time.Unix(1000, 0)
	var ids []string
	for i := range 96 {
		ids = append(ids, string(rune('a'+i/26))+string(rune('a'+i%26)))
	}
	f := limitedFleet(now, append(ids, "last")...)
	f.MarkGone("last")
	for range 50 {
		f.GrantTokens(now, "bb", ratelimit.Token{}, 1, time.Second)
		s := f.ChoosePlain(now, plainWork, nil)
		assert.Assert(t, s != nil && s.ID == "bb")
		f.NoteSent(now, s.ID)
	}
}

// TestLimitReceivedBeforeServerApplies checks that a limit that arrives before its server
// holds as soon as the gateway works with the server.
func TestLimitReceivedBeforeServerApplies(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFleet("g", "z")
	f.ApplyLimit(now, "a", ratelimit.Observation{Limited: true, Rate: 4, Sent: now, Received: now})
	f.Update(now, []registry.Server{{ID: "a", Service: "plain", Zone: "z", State: registry.Ready, Address: "a:1", Sequence: 1}})
	assert.Equal(t, f.CountLimited(now), 1)
	assert.Assert(t, f.ChoosePlain(now, plainWork, nil) == nil)
}

// TestConnectedGatewayLeavesEndOfLimitToControl checks that a connected gateway leaves it to
// control whether a limit has ended, since control has the answers of the other gateways, and
// that a standalone gateway decides by its own answers.
func TestConnectedGatewayLeavesEndOfLimitToControl(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(2 * time.Second)
	ended := ratelimit.Observation{Sent: later, Received: later}
	f := limitedFleet(now, "a", "b")
	f.UnsentLimits(now)
	_, changed := f.ObserveLimit(later, "a", ended)
	assert.Assert(t, !changed)
	assert.DeepEqual(t, f.UnsentLimits(later), []ServerObservation{{"a", ended}})
	_, changed = f.ApplyLimit(later, "a", ended)
	assert.Assert(t, changed)

	f = limitedFleet(now, "a", "b")
	f.Standalone, f.Others.Gateways = true, 10
	f.SetStandaloneRates(now)
	_, changed = f.ObserveLimit(later, "a", ended)
	assert.Assert(t, changed)
}

// TestMissedLimitsAreSentToControl checks that a gateway sends control a limit that it has
// received later than control, and repeats its limits after a while to a replica that may
// have restarted.
func TestMissedLimitsAreSentToControl(t *testing.T) {
	now := time.Unix(1000, 0)
	f := limitedFleet(now, "a", "b")
	assert.Equal(t, len(f.UnsentLimits(now)), 1)
	_, changed := f.ApplyLimit(now, "a", ratelimit.Observation{Sent: now.Add(-time.Second), Received: now})
	assert.Assert(t, !changed)
	assert.Equal(t, len(f.UnsentLimits(now)), 1)
	assert.Equal(t, len(f.UnsentLimits(now.Add(limitRefreshInterval/2))), 0)
	assert.Equal(t, len(f.UnsentLimits(now.Add(limitRefreshInterval))), 1)
}
