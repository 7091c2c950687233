package wal

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/ledgepin/ledgepin/compat"
)

// Newer tells that a record is whole and that this build can't read it: a newer one wrote it.
// It is no torn tail, since it was synced and may have been acknowledged.
type NewerBuildError struct {
	// Version is the fleet's version under which it was written; zero if it does not tell.
	Version int
	// Why is what can't be read.
	Err error
}

// Error tells the version, or what can't be read.
func (n *NewerBuildError) Error() string {
	if n.Version > compat.Newest {
		return fmt.Sprintf("written by version %d, and this build reads up to %d", n.Version, compat.Newest)
	}
	return fmt.Sprintf("written by a newer build: %v", n.Err)
}

// Unwrap returns what can't be read.
func (n *NewerBuildError) Unwrap() error { return n.Err }

// newer returns the error for the content of a record that can't be read.
func newerBuildError(body []byte, err error) error {
	var r struct {
		Version int `cbor:"4,keyasint"`
	}
	_ = cbor.Unmarshal(body, &r) // what can't be read at all tells no version
	return &NewerBuildError{Version: r.Version, Err: err}
}

// asNewer tells whether an error is that of a newer build's record.
func isNewerBuild(err error) bool {
	var n *NewerBuildError
	return errors.As(err, &n)
}
