package soak

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUpgradePlanFollowsOrderAndPath checks that a seed always gives the same steps, that twenty
// seeds cover all orders and paths, that each phase replaces a process at most once, and that steps
// follow their order.
func TestUpgradePlanFollowsOrderAndPath(t *testing.T) {
	type drawn struct{ order, path string }
	seen := map[drawn]bool{}
	empty, kills := 0, 0
	for seed := range uint64(20) {
		order, path, steps := NewUpgrade(seed, DefaultShape)
		_, _, again := NewUpgrade(seed, DefaultShape)
		assert.DeepEqual(t, steps, again)
		seen[drawn{order, path}] = true
		phases := phasesOf(steps)
		assert.Equal(t, len(phases), map[string]int{fullPath: 1, partialPath: 1, downgradePath: 2, repeatPath: 3}[path])
		for i, phase := range phases {
			names := map[string]bool{}
			for _, s := range phase {
				assert.Assert(t, !names[s.Process] || !strings.Contains(s.Process, "-"), "%s twice", s.Process)
				names[s.Process] = true
				if s.Empty {
					empty++
				}
				if s.KillAfter > 0 {
					kills++
				}
			}
			if i == 0 {
				assertOrder(t, order, phase)
			}
		}
		complete := len(phases[len(phases)-1]) == DefaultShape.Processes()
		assert.Assert(t, complete == (path == fullPath || path == repeatPath) || path == downgradePath, path)
	}
	assert.Equal(t, len(seen), len(UpgradeOrders)*len(UpgradePaths))
	assert.Assert(t, empty > 0 && kills > 0)
}

// phasesOf splits steps where their kind changes.
func phasesOf(steps []Step) [][]Step {
	var out [][]Step
	for i, s := range steps {
		if i == 0 || s.Kind != steps[i-1].Kind {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], s)
	}
	return out
}

func assertOrder(t *testing.T, order string, phase []Step) {
	t.Helper()
	isGateway := func(s Step) bool { return strings.HasPrefix(s.Process, gatewayPrefix) }
	lastGateway, lastControl, firstGateway, firstControl := -1, -1, len(phase), len(phase)
	for i, s := range phase {
		if isGateway(s) {
			lastGateway, firstGateway = i, min(firstGateway, i)
		} else {
			lastControl, firstControl = i, min(firstControl, i)
		}
	}
	switch order {
	case gatewaysFirst:
		assert.Assert(t, lastGateway < firstControl)
		assert.Assert(t, lastGateway < 0 || firstControl == len(phase) || phase[lastGateway].Wave < phase[firstControl].Wave)
	case controlFirst:
		assert.Assert(t, lastControl < firstGateway)
		assert.Assert(t, lastControl < 0 || firstGateway == len(phase) || phase[lastControl].Wave < phase[firstGateway].Wave)
	case leaderFirst, leaderLast:
		want := map[string]string{leaderFirst: leaderName, leaderLast: followerName}[order]
		assert.Assert(t, !slices.ContainsFunc(phase, func(s Step) bool { return !isGateway(s) && s.Process != want }))
	}
}

// TestUpgradeAndDowngradeUnderLoad replaces processes by those of the other build under load, and
// back again, in waves that overlap with faults. Here the tree's build serves as both.
func TestUpgradeAndDowngradeUnderLoad(t *testing.T) {
	plan := []Step{
		{At: second, Kind: Upgrade, Process: gatewayName(0), Wave: 1},
		{At: second, Kind: Upgrade, Process: leaderName, Wave: 1, For: 300 * time.Millisecond},
		{At: second, Kind: Upgrade, Process: leaderName, Wave: 1, KillAfter: 50 * time.Millisecond},
		{At: second, Kind: Upgrade, Process: followerName, Wave: 1, Empty: true},
		{At: second, Kind: Downgrade, Process: gatewayName(0), Wave: 2},
		{At: second, Kind: Downgrade, Process: followerName, Wave: 2},
		{At: second, Kind: Downgrade, Process: followerName, Wave: 2},
		{At: second, Kind: Downgrade, Process: leaderName, Wave: 2},
		{At: 1500 * time.Millisecond, Kind: ChangeTable},
		{At: 2500 * time.Millisecond, Kind: KillServer, Target: 3, For: second},
		{At: 4 * second, Kind: ChangeTable},
		{At: 6 * second, Kind: RaceTables},
		{At: 8 * second, Kind: ChangeTable},
	}
	h, _, _ := runShort(t, Options{Length: 13 * time.Second, Plan: plan, PlainTexts: true, Production: treeAsProduction})
	u := SummarizeUpgrade(h)
	t.Log(u)
	assert.Assert(t, u.Replaced == 4 && u.Downgraded == 4 && u.Skipped == 0, u.String())
	share, requests := ServedShare(h, u.From, u.To)
	assert.Assert(t, requests > 100 && share > 0.5, "%.2f of %d", share, requests)
	assert.Assert(t, len(h.NoTable) > 0 && len(h.NoLeader) > 0, "no gap was recorded")
}

// TestServedShare checks the share of served requests in a time span, among those whose callers
// waited.
func TestServedShare(t *testing.T) {
	h := &History{}
	for i, q := range []Request{
		{Organisation: "one", Status: 200}, {Organisation: "two", Status: 200, Cut: true}, {Organisation: "one", Status: 503}, {Organisation: "two", Status: 200},
		{Organisation: "one", Cut: true, LeftAt: second}, {Organisation: "hot", Status: 429}, {Organisation: unknownOrganisation, Status: 401},
		{Organisation: "one", Sent: 9 * second, Status: 503},
	} {
		q.Sent += time.Duration(i+1) * time.Millisecond
		h.Requests = append(h.Requests, q)
	}
	share, n := ServedShare(h, time.Millisecond, second)
	assert.Equal(t, n, 4)
	assert.Equal(t, share, 0.5)
}
