package replay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/replay"
	"github.com/ledgepin/ledgepin/roles"
)

func playRoles(t *testing.T, p replay.Pattern, o replay.RoleOptions) replay.RoleResult {
	t.Helper()
	if o.Planner == nil {
		o.Planner = &roles.Planner{PrefillShare: 0.33}
	}
	r := replay.PlayRoles(p, o)
	t.Logf("reports work %v: %v", o.ReportsWork, r)
	return r
}

// TestRolesAreRightBeforeFirstBurst simulates load A, whose first burst begins after 9 s. By the
// work, surplus prefill engines must be decode engines by then, and no burst changes roles or
// exceeds the capacity of a role. Without reports of the work, the plan is by the utilization, which
// follows the first burst and leaves later ones too few prefill engines.
func TestRolesAreRightBeforeFirstBurst(t *testing.T) {
	p := read(t, "load-a")
	for _, planner := range []*roles.Planner{{PrefillShare: 0.33}, roles.Resume(0.33)} { // a first and a new leader
		r := playRoles(t, p, replay.RoleOptions{Planner: planner, ReportsWork: true})
		assert.Equal(t, r.Prefill, 13)
		for _, c := range r.Changes {
			assert.Assert(t, c.Role == registry.Decode && c.At >= 2*time.Second && c.At <= 3*time.Second, "%v", c)
		}
		assert.Equal(t, r.MemoryFull+r.PrefillFull, time.Duration(0))
	}
	r := playRoles(t, p, replay.RoleOptions{})
	assert.Assert(t, r.Changes[0].At > 9*time.Second && r.MemoryFull > time.Second && r.PrefillFull > time.Second)
}

// TestWavesOfTheMixChangeFewRoles simulates a mix that shifts between long prompts and long
// answers. Waves must not change roles each time, but a shift that lasts must change them.
func TestWavesOfTheMixChangeFewRoles(t *testing.T) {
	p := read(t, "load-a")
	prompts, answers := replay.Phase{Rate: 60, Prompt: 9000, Answer: 500}, replay.Phase{Rate: 60, Prompt: 2000, Answer: 1500}
	for _, wave := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second} {
		prompts.For, answers.For, p.Load = wave, wave, nil
		for range 2 * time.Minute / (2 * wave) {
			p.Load = append(p.Load, prompts, answers)
		}
		r := playRoles(t, p, replay.RoleOptions{ReportsWork: true})
		assert.Assert(t, len(r.Changes) <= 3, "waves of %v: %v", wave, r)
	}
	p.Load = []replay.Phase{{For: 30 * time.Second, Rate: 43}, {For: 30 * time.Second, Rate: 60, Prompt: 9000, Answer: 500}}
	r := playRoles(t, p, replay.RoleOptions{ReportsWork: true})
	assert.Assert(t, r.Prefill > 16, "%v", r)
}

// TestSmallDifferencesAndShortLossesChangeNoRoles simulates loads below capacity, divisions that
// nearly fit, the first requests at a small deployment, and engines that fail together for 2 s.
func TestSmallDifferencesAndShortLossesChangeNoRoles(t *testing.T) {
	p := read(t, "load-a")
	for _, c := range []struct {
		prefill, decode int
		rate            float64
		time            time.Duration
		lost            replay.Fault
	}{
		{18, 37, 20, time.Minute, replay.Fault{}},
		{3, 6, 4, time.Minute, replay.Fault{}},
		{2, 7, 8, time.Minute, replay.Fault{}},
		{14, 41, 60, time.Minute, replay.Fault{}},
		{3, 6, 8, 7 * time.Second, replay.Fault{}},
		{13, 42, 90, time.Minute, replay.Fault{From: 10 * time.Second, For: 2 * time.Second, Engines: 4}},
	} {
		p.Prefill, p.Decode, p.Load = c.prefill, c.decode, []replay.Phase{{For: c.time, Rate: c.rate}}
		r := playRoles(t, p, replay.RoleOptions{Planner: roles.Resume(0.33), ReportsWork: true, Lost: c.lost})
		assert.Equal(t, len(r.Changes), 0, "%+v: %v", c, r)
	}
}
