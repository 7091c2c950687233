package consensus

import (
	"fmt"

	"github.com/ledgepin/ledgepin/internal/exact"
)

// A replica keeps and passes on what a leader wrote, so it takes an entry or a snapshot whole
// or not at all: what it passed over would be lost to it and to those that it tells. An entry
// that can't be read is marked instead of ending the decoding, since one packet must not end
// the link that it came by.

// UnmarshalCBOR reads an entry; what has a field that is not known is marked.
func (e *Entry) UnmarshalCBOR(data []byte) error {
	type plain Entry
	if err := exact.Unmarshal(data, (*plain)(e)); err != nil {
		*e = Entry{DecodeErr: err}
	}
	return nil
}

// UnmarshalCBOR reads a snapshot; one that has a field that is not known is marked.
func (s *Snapshot) UnmarshalCBOR(data []byte) error {
	type plain Snapshot
	if err := exact.Unmarshal(data, (*plain)(s)); err != nil {
		*s = Snapshot{DecodeErr: err}
	}
	return nil
}

// Unread returns what of a packet can't be read; nil if it can be taken.
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

// Stop tells that the command at an index that Take has returned can't be carried out here: it
// and all after it count as not applied, and the replica answers nothing and votes for nobody
// from now on.
func (n *Node) StopAt(index uint64) {
	n.applied = min(n.applied, index-1)
	n.MarkFailed()
}
