package consensus_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/consensus"
)

// FuzzPacket requires a packet to be decoded completely or to report what was not: an entry or a
// snapshot with a decoding error is empty otherwise, and a packet without errors is the same after
// it is encoded and decoded again.
func FuzzPacket(f *testing.F) {
	for _, p := range []fields{
		{1: consensus.Append, 2: "b", 3: "a", 4: 5, 5: 1, 6: 1, 7: []fields{{1: 2, 2: 5, 3: []byte("x")}, {1: 3, 2: 5, 4: fields{1: []string{"a"}}}}},
		{1: consensus.Append, 7: []fields{{1: 2, 2: 5, 17: "x"}}, 17: "x"},
		{1: consensus.Install, 12: fields{1: 9, 2: 5, 3: fields{1: []string{"a"}, 2: []string{"b"}}, 4: []byte("state")}},
		{1: consensus.Install, 12: fields{1: 9, 17: "x"}},
	} {
		data, err := cbor.Marshal(p)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var p consensus.Packet
		if cbor.Unmarshal(data, &p) != nil {
			return
		}
		marked := p.Snapshot != nil && p.Snapshot.DecodeErr != nil
		if marked {
			assert.Equal(t, p.Snapshot.Index+p.Snapshot.Term+uint64(len(p.Snapshot.Data)+len(p.Snapshot.Members.Voters)), uint64(0))
		}
		for _, e := range p.Entries {
			if e.DecodeErr != nil {
				marked = true
				assert.Assert(t, e.Index == 0 && e.Term == 0 && e.Data == nil && e.Members == nil)
			}
		}
		assert.Equal(t, p.DecodeErr() != nil, marked)
		if marked {
			return
		}
		once, err := cbor.Marshal(p)
		assert.NilError(t, err)
		var again consensus.Packet
		assert.NilError(t, cbor.Unmarshal(once, &again))
		assert.NilError(t, again.DecodeErr())
		twice, err := cbor.Marshal(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, twice, once)
	})
}
