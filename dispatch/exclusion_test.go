package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
)

func TestExclusionCountsRules(t *testing.T) {
	f := fleet(1, 2)
	f.MarkGone("d0-0")
	f.NoteOutcome(now, "d0-1", dispatch.Unreachable, 0)
	f.BeginRoleChange(now, "d1-0", registry.Prefill, time.Second)
	f.SetOthers(now, knownLoads(map[string]dispatch.Load{"d1-1": {Tokens: 20000}}))
	assert.DeepEqual(t, f.Exclusion(now, small, engine), dispatch.Exclusion{
		Rule: dispatch.RuleMemory, MinPrefillTime: 20 * time.Millisecond, Engines: 3, Known: 1, Gateways: 1,
		Count: map[dispatch.Rule]int{dispatch.RuleLeaving: 1, dispatch.RuleBlocked: 1, dispatch.RuleMemory: 1},
	})
}

// TestExclusionNamesDecidingRule checks that the named rule is the one that excludes the
// engines that come closest to accepting the request.
func TestExclusionNamesDecidingRule(t *testing.T) {
	for _, c := range []struct {
		rule   dispatch.Rule
		queued int
		loads  map[string]dispatch.Load
	}{
		{dispatch.RuleSlots, 0, map[string]dispatch.Load{"d0-0": {Runs: 1000}, "d1-0": {Runs: 1000}}},
		{dispatch.RuleMemoryNow, 0, map[string]dispatch.Load{"d0-0": {Runs: 1000}, "d1-0": {Runs: 1, Tokens: 1, Held: 1 << 20}}},
		{dispatch.RuleMemory, 0, map[string]dispatch.Load{"d0-0": {Runs: 1, Tokens: 1, Held: 1 << 20}, "d1-0": {Runs: 1, Tokens: 1 << 20}}},
		{dispatch.RuleOtherGateway, 1 << 30, map[string]dispatch.Load{"d0-0": {Runs: 1, Tokens: 1 << 20}}},
		{dispatch.RuleLatePrefill, 0, nil},
	} {
		f := fleet(1, 1)
		o := knownLoads(c.loads)
		o.Queued = c.queued
		f.SetOthers(now, o)
		assert.Equal(t, f.Exclusion(now, small, engine).Rule, c.rule)
	}
	assert.Equal(t, dispatch.NewFleet("g", "z").Exclusion(now, small, engine).Rule, dispatch.RuleNoEngine)
}
