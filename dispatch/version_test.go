package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
)

var versionEngine = &route.Engine{Slots: 2, KVTokens: 10_000, KVHold: time.Second, EventTokens: 1, Migrates: true}

// versionFleet returns a fleet of decode engines with the given versions, named d0, d1 and so on,
// and one prefill engine.
func versionFleet(now time.Time, versions ...string) *Fleet {
	f := NewFleet("g", "z")
	list := []registry.Server{{ID: "p", Service: "s", Address: "p:1", Zone: "z", State: registry.Ready, Role: registry.Prefill, Version: "v2", Sequence: 1}}
	for n, version := range versions {
		id := "d" + string(rune('0'+n))
		list = append(list, registry.Server{ID: id, Service: "s", Address: id + ":1", Zone: "z", State: registry.Ready, Role: registry.Decode, Version: version, Sequence: 1})
	}
	f.Update(now, list)
	return f
}

func pinnedTo(version string) Work {
	return Work{Service: "s", Prompt: 100, Expected: 100, Pinned: true, Version: version}
}

// TestPinnedStreamUsesItsVersionOnly guards against a stream that continues at an engine of another
// version, wherever an engine is chosen for it.
func TestPinnedStreamUsesItsVersionOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	f := versionFleet(now, "v1", "v2", "v1", "v2", "")
	for range 20 {
		pair, ok := f.ChoosePair(now, pinnedTo("v1"), versionEngine, nil)
		assert.Assert(t, ok && pair.Decode.Version == "v1")
		assert.Equal(t, f.ChooseDecode(now, pinnedTo("v2"), versionEngine, "z", Avoid{"d1": true}).ID, "d3")
		target := f.MigrationTarget(now, "d0", Work{Service: "s", Prompt: 100, Expected: 100}, versionEngine, 0.9)
		assert.Equal(t, target.ID, "d2")
	}
	_, ok := f.ChoosePair(now, pinnedTo("v1"), versionEngine, Avoid{"d0": true, "d2": true})
	assert.Assert(t, !ok)
	assert.Assert(t, f.MigrationTarget(now, "d4", Work{Service: "s"}, versionEngine, 0) == nil, "an engine of unknown version")
	assert.Assert(t, f.VersionServed(now, pinnedTo("v1")) && !f.VersionServed(now, pinnedTo("v3")) && !f.VersionServed(now, pinnedTo("")))
	x := f.Exclusion(now, pinnedTo("v3"), versionEngine)
	assert.Equal(t, x.Rule, RuleVersion)
}

// TestVersionLeavesWithItsLastEngine guards against a stream that waits for a version of which all
// engines leave, and against a run that is copied although it has nowhere to go.
func TestVersionLeavesWithItsLastEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	f := versionFleet(now, "v1", "v2", "v2")
	f.Update(now, []registry.Server{{ID: "d0", Service: "s", Address: "d0:1", Zone: "z", State: registry.Draining, Role: registry.Decode, Version: "v1", Sequence: 2}})
	assert.Assert(t, !f.VersionServed(now, pinnedTo("v1")))
	assert.Assert(t, f.MigrationTarget(now, "d0", Work{Service: "s", Prompt: 100, Expected: 100}, versionEngine, 0) == nil)
	assert.Assert(t, f.Mixed("s"), "streams of the version may still be resumed")
	f.Sweep(now)
	f.NoteHeartbeats(now.Add(time.Hour), []string{"d1", "d2"})
	f.Sweep(now.Add(time.Hour))
	sole, ok := f.SoleVersion("s")
	assert.Assert(t, ok && sole == "v2", "%q", sole)
}

// TestPinnedStreamHoldsUpNoOthers guards against a stream that waits for a full version and holds up
// requests that can go elsewhere, and against one that gets no slot of its version because other
// requests that came before it wait too.
func TestPinnedStreamHoldsUpNoOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	f := versionFleet(now, "v1", "v2")
	f.Reserve("d0", Work{Service: "s", Prompt: 10, Expected: 10})
	f.Reserve("d0", Work{Service: "s", Prompt: 10, Expected: 10})
	var q Queue
	placed := map[string]string{}
	serve := func() {
		f.ServeQueue(now, &q, func(r *QueuedRequest, p Pair) { placed[r.Work.Version] += p.Decode.ID })
	}
	fresh, resumed := &QueuedRequest{Work: Work{Service: "s", Prompt: 100, Expected: 100}, Engine: versionEngine}, &QueuedRequest{Work: pinnedTo("v1"), Engine: versionEngine}
	q.Add(resumed)
	q.Add(fresh)
	serve()
	assert.DeepEqual(t, placed, map[string]string{"": "d1"})
	f.Reserve("d1", Work{Service: "s", Prompt: 10, Expected: 10})
	q.Add(fresh)
	f.Release("d0", Work{Service: "s", Prompt: 10, Expected: 10})
	serve()
	assert.DeepEqual(t, placed, map[string]string{"": "d1", "v1": "d0"})
	assert.Equal(t, q.Len(), 1)
}

// TestVersionSurvivesReportsOfOlderBuilds guards against a report that an older replica forwards
// without the version, and that erases the known one.
func TestVersionSurvivesReportsOfOlderBuilds(t *testing.T) {
	now := time.Unix(1000, 0)
	f := versionFleet(now, "v1")
	f.Update(now, []registry.Server{{ID: "d0", Service: "s", Address: "d0:1", Zone: "z", State: registry.Ready, Role: registry.Decode, Sequence: 7}})
	assert.Equal(t, f.Get("d0").Version, "v1")
}

// TestStreamOfSoleVersionWaitsLikeOthers guards against resumed streams that take capacity from more
// urgent requests of other gateways while all servers have one version.
func TestStreamOfSoleVersionWaitsLikeOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	f := versionFleet(now, "v2", "v2")
	f.SetOthers(now, OtherGateways{Gateways: 2, Known: 2, Queued: 3, Demand: []demand.Class{{Service: "s", Waiting: 3}}})
	assert.Equal(t, f.Position(pinnedTo("v2")).Ahead, 3)
	_, ok := f.PinnedRetryAfter(now, pinnedTo("v2"), 0, RunTimes{}, 0)
	assert.Assert(t, !ok)
	f.Update(now, []registry.Server{{ID: "d9", Service: "s", Address: "d9:1", Zone: "z", State: registry.Ready, Role: registry.Decode, Version: "v3", Sequence: 1}})
	assert.Equal(t, f.Position(pinnedTo("v2")).Ahead, 0)
}
