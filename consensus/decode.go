package consensus

import (
	"fmt"

	"github.com/ledgepin/ledgepin/internal/strictcbor"
)

// A replica stores and forwards what a leader wrote, so it accepts an entry or a snapshot only if
// it can decode all of it: fields that it ignored would be lost here and at the replicas that it
// sends them to. An entry that can't be decoded is marked and doesn't end the decoding of its
// packet, since a single packet must not close the link on which it arrived.

// UnmarshalCBOR decodes an entry. If any part of it is unknown or can't be decoded, only DecodeErr
// is set.
func (e *Entry) UnmarshalCBOR(data []byte) error {
	type plain Entry
	if err := strictcbor.Unmarshal(data, (*plain)(e)); err != nil {
		*e = Entry{DecodeErr: err}
	}
	return nil
}

// UnmarshalCBOR decodes a snapshot. If any part of it is unknown or can't be decoded, only
// DecodeErr is set.
func (s *Snapshot) UnmarshalCBOR(data []byte) error {
	type plain Snapshot
	if err := strictcbor.Unmarshal(data, (*plain)(s)); err != nil {
		*s = Snapshot{DecodeErr: err}
	}
	return nil
}

// DecodeErr returns the error of the first entry or snapshot of the packet that could not be
// decoded; nil if the packet can be processed.
func (p *Packet) DecodeErr() error {
	for i := range p.Entries {
		if err := p.Entries[i].DecodeErr; err != nil {
			return fmt.Errorf("entry %d after %d: %w", i+1, p.Index, err)
		}
	}
	if p.Snapshot != nil && p.Snapshot.DecodeErr != nil {
		return fmt.Errorf("snapshot: %w", p.Snapshot.DecodeErr)
	}
	return nil
}

// StopAt stops the replica because the command at an index that Ready has returned can't be applied
// here. That command and all after it count as not applied, and the replica sends no packets and
// grants no votes from now on.
func (n *Node) StopAt(index uint64) {
	n.applied = min(n.applied, index-1)
	n.MarkFailed()
}
