package control

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/consensus"
)

func TestNextStep(t *testing.T) {
	three := []string{"a", "b", "c"}
	for _, c := range []struct {
		name   string
		m      consensus.Members
		want   []string
		seen   []string
		caught []string
		step   consensus.Change
	}{
		{"no change needed", consensus.Members{Voters: three}, three, three, nil, consensus.Change{}},
		{"a standby joins", consensus.Members{Voters: three}, []string{"a", "b", "c", "d"}, []string{"d~1"}, nil, consensus.Change{Add: "d~1"}},
		{"a standby stays a learner", consensus.Members{Voters: three, Learners: []string{"d~1"}}, []string{"a", "b", "c", "d"},
			[]string{"d~1"}, []string{"d~1"}, consensus.Change{}},
		{"a replica outside the settings does not join", consensus.Members{Voters: three}, three, []string{"x"}, nil, consensus.Change{}},
		{"a disk is lost", consensus.Members{Voters: three}, three, []string{"c~1"}, nil, consensus.Change{Add: "c~1"}},
		{"wait for the learner", consensus.Members{Voters: three, Learners: []string{"c~1"}}, three, []string{"c~1"}, nil, consensus.Change{}},
		{"the old identity is removed", consensus.Members{Voters: three, Learners: []string{"c~1"}}, three, []string{"c~1"}, []string{"c~1"},
			consensus.Change{Remove: "c"}},
		{"the new identity is promoted", consensus.Members{Voters: []string{"a", "b"}, Learners: []string{"c~1"}}, three, []string{"c~1"}, []string{"c~1"},
			consensus.Change{Promote: "c~1"}},
		{"a voter is removed from the settings with a standby ready", consensus.Members{Voters: three, Learners: []string{"d~1"}}, []string{"a", "b", "d"},
			[]string{"d~1"}, []string{"d~1"}, consensus.Change{Remove: "c"}},
		{"a voter is removed from the settings without a standby", consensus.Members{Voters: three}, []string{"a", "b"}, nil, nil, consensus.Change{}},
		{"a learner is removed from the settings", consensus.Members{Voters: three, Learners: []string{"d~1"}}, three, nil, nil, consensus.Change{Remove: "d~1"}},
		{"a learner also lost its disk", consensus.Members{Voters: three, Learners: []string{"d~1"}}, []string{"a", "b", "c", "d"}, []string{"d~2"}, nil,
			consensus.Change{Add: "d~2"}},
		{"the first identity of the learner is removed", consensus.Members{Voters: three, Learners: []string{"d~1", "d~2"}}, []string{"a", "b", "c", "d"}, []string{"d~2"},
			[]string{"d~2"}, consensus.Change{Remove: "d~1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := nextStep(c.m, c.want, c.seen, func(id string) bool { return slices.Contains(c.caught, id) })
			assert.Equal(t, got, c.step)
		})
	}
}

// TestDiscoveredStep checks which voter is removed where replicas find each other through seeds.
func TestDiscoveredStep(t *testing.T) {
	for _, c := range []struct {
		name        string
		members     consensus.Members
		connected   []string
		lostEntries string
		step        consensus.Change
	}{
		{"a learner that is not needed", consensus.Members{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}}, []string{"a", "b", "c", "d"}, "", consensus.Change{}},
		{"a voter has lost entries", consensus.Members{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}}, []string{"a", "b", "c", "d"}, "b", consensus.Change{Remove: "b"}},
		{"a voter has lost entries, and no learner is ready", consensus.Members{Voters: []string{"a", "b", "c"}}, []string{"a", "b", "c"}, "b", consensus.Change{}},
		{"the lost disk of a voter, before its place is taken", consensus.Members{Voters: []string{"a", "b"}, Learners: []string{"b~1"}}, []string{"a", "b~1"}, "", consensus.Change{Promote: "b~1"}},
		{"the lost disk of a voter whose place is taken", consensus.Members{Voters: []string{"a", "b", "b~1"}}, []string{"a", "b~1"}, "", consensus.Change{Remove: "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := membership{
				members: c.members, connected: c.connected, voters: 3,
				caught: func(string) bool { return true }, silence: func(string) time.Duration { return 0 },
				lostEntries: func(id string) bool { return id == c.lostEntries },
			}
			assert.Equal(t, m.step(), c.step)
		})
	}
}
