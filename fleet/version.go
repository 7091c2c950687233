package fleet

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/ledgepin/ledgepin/compat"
)

// The version of the fleet determines what may be written: a kind of command or snapshot that
// was added with a version is written only once that version is in force, and the version is
// raised only while every replica can read the next one. It is never lowered, because what was
// written under it remains stored.

// Version returns the version of the fleet that is in force.
func (s *State) Version() int { return max(s.version, compat.Base) }

// applyVersion raises the version. A lower one has no effect and succeeds.
func (s *State) applyVersion(c Change) Result {
	if c.Version > s.Version() {
		s.version = c.Version
	}
	return Result{ID: c.ID, Revision: uint64(s.Version()), OK: true}
}

// readVersion returns an error for a version that this build does not support.
func readVersion(version int) error {
	if version < 0 || version > compat.Newest {
		return fmt.Errorf("fleet: version %d is not supported: this build reads up to %d", version, compat.Newest)
	}
	return nil
}

// CommandVersion returns the version to which a command raises that of the fleet, or zero for
// other commands.
func CommandVersion(command []byte) int {
	var c struct {
		Version int `cbor:"10,keyasint"`
	}
	_ = cbor.Unmarshal(command, &c) // a command that can't be decoded raises no version
	return c.Version
}
