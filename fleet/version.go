package fleet

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/ledgepin/ledgepin/compat"
)

// The fleet's version tells what may be written: a kind of command or snapshot that came with
// a version is written only once that version is in force, and it is raised only while every
// replica reads the next one. It never falls, since what was written under it stays.

// Version returns the version in force.
func (s *State) Version() int { return max(s.version, compat.Base) }

// applyVersion raises the version; a lower one changes nothing and counts as taken.
func (s *State) applyVersion(c Change) Result {
	if c.Version > s.Version() {
		s.version = c.Version
	}
	return Result{ID: c.ID, Revision: uint64(s.Version()), OK: true}
}

// readVersion returns an error for a version that this build does not know.
func readVersion(version int) error {
	if version < 0 || version > compat.Newest {
		return fmt.Errorf("fleet: version %d, and this build reads up to %d", version, compat.Newest)
	}
	return nil
}

// VersionOf returns the version to which a command raises the fleet's; zero for all others.
func CommandVersion(command []byte) int {
	var c struct {
		Version int `cbor:"10,keyasint"`
	}
	_ = cbor.Unmarshal(command, &c) // what can't be read raises nothing
	return c.Version
}
