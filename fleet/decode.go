package fleet

import (
	"fmt"

	"github.com/ledgepin/ledgepin/internal/strictcbor"
)

func decode(data []byte, c *Change) error {
	if err := strictcbor.Unmarshal(data, c); err != nil {
		return fmt.Errorf("fleet: bad command: %w", err)
	}
	return readVersion(c.Version)
}

func decodeSnapshot(data []byte) (snapshot, error) {
	var in snapshot
	if len(data) == 0 {
		return in, nil
	}
	if err := strictcbor.Unmarshal(data, &in); err != nil {
		return in, fmt.Errorf("fleet: bad snapshot: %w", err)
	}
	return in, readVersion(in.Version)
}

// CheckCommand returns an error if this build can't decode a command, so that the command is
// refused before it is stored.
func CheckCommand(data []byte) error {
	var c Change
	return decode(data, &c)
}

// CheckSnapshot returns an error if this build can't decode a snapshot.
func CheckSnapshot(data []byte) error {
	_, err := decodeSnapshot(data)
	return err
}
