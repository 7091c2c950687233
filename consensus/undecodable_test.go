package consensus_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/consensus"
)

// fields is a message as a map from field numbers to values.
type fields map[int]any

// decodePacket encodes the fields and decodes them as a packet.
func decodePacket(t *testing.T, p fields) consensus.Packet {
	t.Helper()
	data, err := cbor.Marshal(p)
	assert.NilError(t, err)
	var out consensus.Packet
	assert.NilError(t, cbor.Unmarshal(data, &out), "a single packet must not close the link")
	return out
}

// TestUndecodableEntryIsNotAcknowledged requires a follower to ignore an entry or a snapshot that
// it can't decode completely: it would store and forward less than the leader wrote.
func TestUndecodableEntryIsNotAcknowledged(t *testing.T) {
	members := fields{1: []string{"a", "b"}}
	for name, p := range map[string]fields{
		"a field of an entry":      {1: consensus.Append, 5: 1, 6: 1, 7: []fields{{1: 2, 2: 5, 3: []byte("x")}, {1: 3, 2: 5, 3: []byte("x"), 17: "x"}}},
		"a field of a membership":  {1: consensus.Append, 5: 1, 6: 1, 7: []fields{{1: 2, 2: 5, 4: fields{1: []string{"a"}, 17: "x"}}}},
		"another type of a field":  {1: consensus.Append, 5: 1, 6: 1, 7: []fields{{1: 2, 2: 5, 3: fields{1: "x"}}}},
		"a field of a snapshot":    {1: consensus.Install, 12: fields{1: 9, 2: 5, 3: members, 4: []byte{}, 17: "x"}},
		"a field of its members":   {1: consensus.Install, 12: fields{1: 9, 2: 5, 3: fields{1: []string{"a"}, 17: "x"}, 4: []byte{}}},
		"another type of snapshot": {1: consensus.Install, 12: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDisk(1, nil)
			n := newLoneNode(d, start)
			p[2], p[3], p[4] = "b", "a", 5
			n.Step(start.Add(time.Second), decodePacket(t, p))
			r := n.Ready()
			assert.Equal(t, len(r.Entries), 0)
			assert.Assert(t, r.Snapshot == nil)
			for _, a := range r.Packets {
				assert.Assert(t, !a.OK, "it acknowledges what it can't decode")
			}
			s := n.Status(start)
			assert.Equal(t, s.Last, uint64(1))
			assert.DeepEqual(t, s.Members, threeVoters)
		})
	}
}

// TestUnknownPacketFieldIsIgnored requires a packet with an unknown field of its own to be
// processed.
func TestUnknownPacketFieldIsIgnored(t *testing.T) {
	d := newDisk(1, nil)
	n := newLoneNode(d, start)
	n.Step(start.Add(time.Second), decodePacket(t, fields{1: consensus.Append, 2: "b", 3: "a", 4: 5, 5: 1, 6: 1, 7: []fields{{1: 2, 2: 5, 3: []byte("x")}}, 17: "x"}))
	assert.Assert(t, takePackets(n, d, consensus.Appended)[0].OK)
	assert.Equal(t, n.Status(start).Last, uint64(2))
}
