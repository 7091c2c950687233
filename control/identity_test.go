package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/consensus"
)

// TestOnlyReplacedVoterIsMarkedLost checks that a voter is marked lost only if the address
// of a new identity proves that its process has ended.
func TestOnlyReplacedVoterIsMarkedLost(t *testing.T) {
	tests := []struct {
		name      string
		discovery *Discovery
		seen      string
		lost      string
	}{
		{"a new identity at a voter's address", &Discovery{}, "10.0.0.2:1~9f31c2aa", "10.0.0.2:1"},
		{"the voter itself", &Discovery{}, "10.0.0.3:1~01234567", ""},
		{"another address", &Discovery{}, "10.0.0.9:1~9f31c2aa", ""},
		{"the first identity at an address", &Discovery{}, "10.0.0.3:1", ""},
		{"a name from the settings tree", nil, "10.0.0.2:1~9f31c2aa", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			members := consensus.Members{Voters: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1~01234567"}}
			c := &Control{cfg: Config{Discovery: tt.discovery}}
			node := consensus.Config{ID: "10.0.0.1:1", HeartbeatInterval: time.Second, ElectionMin: time.Second, ElectionMax: 2 * time.Second}
			c.node = consensus.New(node, consensus.Bootstrap(members), members, clock.VM.Now(), rand.New(rand.NewPCG(1, 2)))
			c.markReplacedVoters(tt.seen)
			var want []string
			if tt.lost != "" {
				want = []string{tt.lost}
			}
			assert.DeepEqual(t, c.node.Status(clock.VM.Now()).Lost, want)
		})
	}
}

// TestStartActions checks what a replica does with each state of its data folder.
func TestStartActions(t *testing.T) {
	founding := consensus.Bootstrap(consensus.Members{Voters: []string{"a", "b", "c"}})
	others := consensus.Bootstrap(consensus.Members{Voters: []string{"b", "c", "d"}})
	voted := founding
	voted.Hard = consensus.Hard{Term: 1, Vote: "b"}
	snapshotOnly := consensus.Restored{Snapshot: founding.Snapshot}
	later := consensus.Restored{Snapshot: consensus.Snapshot{Index: 9, Term: 3, Members: founding.Snapshot.Members}}
	committed := founding
	committed.Entries = []consensus.Entry{{Index: 2, Term: 2}}
	tests := []struct {
		name     string
		identity string
		recorded bool
		restored consensus.Restored
		want     startAction
		mayFound bool
	}{
		{"an empty folder", "", false, consensus.Restored{}, startEmpty, true},
		{"a founder's snapshot", "", false, snapshotOnly, completeFounding, true},
		{"a founder's snapshot and log", "", true, founding, completeFounding, true},
		{"a founder", "a", true, founding, keepIdentity, true},
		{"a voter", "a", true, later, keepIdentity, true},
		{"an identity to join under", "a~1", false, consensus.Restored{}, startEmpty, false},
		{"a learner", "a~1", true, consensus.Restored{}, keepIdentity, false},
		{"a founder of an older build without snapshot", "a", false, consensus.Restored{}, startEmpty, true},
		{"a founder of an older build without log", "a", false, snapshotOnly, startEmpty, true},
		{"a vote without identity", "", true, voted, joinWithData, true},
		{"entries without identity", "", true, committed, joinWithData, true},
		{"a snapshot without identity", "", false, later, joinWithData, true},
		{"a snapshot without log", "a", false, later, joinWithData, true},
		{"a founding snapshot without log", "a~1", false, snapshotOnly, joinWithData, false},
		{"a founding snapshot of other members", "", true, others, joinWithData, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := stored{name: "a", identity: tt.identity, recorded: tt.recorded, restored: tt.restored}
			assert.Equal(t, s.action(), tt.want)
			assert.Equal(t, s.mayFoundGroup(), tt.mayFound)
		})
	}
}
