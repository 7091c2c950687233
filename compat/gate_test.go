package compat_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/compat"
)

var (
	oldBuild = compat.Single(3)
	newBuild = compat.Range{Least: 3, Most: 4}
	start    = time.Unix(1000, 0)
)

const settling = time.Minute

func TestCheckNamesBlockers(t *testing.T) {
	leader := compat.Member{ID: "a", Range: newBuild}
	for _, c := range []struct {
		name    string
		version int
		others  []compat.Member
		want    []compat.Blocker
	}{
		{"all support it", 3, []compat.Member{{ID: "b", Range: newBuild}}, nil},
		{"no higher version is supported", 4, nil, []compat.Blocker{{Cause: compat.CauseNewest}}},
		{"one has not reported", 3, []compat.Member{{ID: "b"}}, []compat.Blocker{{Cause: compat.CauseNeverReported, Member: "b"}}},
		{"one is old", 3, []compat.Member{{ID: "b", Range: oldBuild}}, []compat.Blocker{{Cause: compat.CauseUnable, Member: "b", Range: &oldBuild}}},
		{"one is disconnected", 3, []compat.Member{{ID: "b", Range: newBuild, Disconnected: true}}, []compat.Blocker{{Cause: compat.CauseSilent, Member: "b", Range: &newBuild}}},
		{"an old one is disconnected", 3, []compat.Member{{ID: "b", Range: oldBuild, Disconnected: true}}, []compat.Blocker{{Cause: compat.CauseUnable, Member: "b", Range: &oldBuild}}},
		{"an invalid range", 3, []compat.Member{{ID: "b", Range: compat.Range{Most: 9}}},
			[]compat.Blocker{{Cause: compat.CauseUnable, Member: "b", Range: &compat.Range{Most: 9}}}},
		{"all are named", 3, []compat.Member{{ID: "b"}, {ID: "c", Range: oldBuild}},
			[]compat.Blocker{{Cause: compat.CauseNeverReported, Member: "b"}, {Cause: compat.CauseUnable, Member: "c", Range: &oldBuild}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var g compat.Gate
			assert.DeepEqual(t, g.Check(start, c.version, newBuild, append([]compat.Member{leader}, c.others...)), c.want)
		})
	}
	var g compat.Gate
	g.RecordProposal(4)
	assert.DeepEqual(t, g.Check(start, 3, newBuild, nil), []compat.Blocker{{Cause: compat.CauseProposed}})
}

// TestSettlingTime applies a sequence of changes, one every ten seconds, and checks the
// remaining settling time after each.
func TestSettlingTime(t *testing.T) {
	a, b := compat.Member{ID: "a", Range: newBuild}, compat.Member{ID: "b", Range: newBuild}
	disconnected := compat.Member{ID: "b", Range: newBuild, Disconnected: true}
	narrower := compat.Member{ID: "b", Range: compat.Single(4)}
	c := compat.Member{ID: "c", Range: newBuild}
	const none = -1
	var g compat.Gate
	for i, step := range []struct {
		name      string
		members   []compat.Member
		remaining time.Duration
	}{
		{"settling begins", []compat.Member{a, b}, 60},
		{"settling continues", []compat.Member{a, b}, 50},
		{"one is disconnected: settling continues", []compat.Member{a, disconnected}, 40},
		{"one joins", []compat.Member{a, b, c}, 60},
		{"one leaves: settling continues", []compat.Member{a, b}, 50},
		{"one is downgraded", []compat.Member{a, {ID: "b", Range: oldBuild}}, none},
		{"and upgraded again", []compat.Member{a, b}, 60},
		{"one supports fewer versions", []compat.Member{a, narrower}, 60},
		{"it supports more again: settling continues", []compat.Member{a, b}, 50},
		{"one is replaced", []compat.Member{a, c}, 60},
		{"one has not reported", []compat.Member{a, c, {ID: "d"}}, none},
	} {
		now := start.Add(time.Duration(i) * 10 * time.Second)
		g.Check(now, 3, newBuild, step.members)
		assert.Equal(t, g.SupportedSince().IsZero(), step.remaining == none, step.name)
		if step.remaining != none {
			assert.DeepEqual(t, g.CheckSettled(now, settling), []compat.Blocker{{Cause: compat.CauseSettling, Remaining: step.remaining * time.Second}})
		}
	}
	g = compat.Gate{}
	g.Check(start, 3, newBuild, []compat.Member{a, b})
	assert.Equal(t, len(g.CheckSettled(start.Add(settling), settling)), 0)
	assert.DeepEqual(t, g.CheckSettled(start.Add(settling), 0), []compat.Blocker{{Cause: compat.CauseOperatorOnly}})
}
