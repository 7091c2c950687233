package wal

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/ledgepin/ledgepin/compat"
)

// NewerBuildError reports an intact record that this build can't decode because a newer build wrote
// it. Such a record is not a torn tail: it was synced and may have been acknowledged.
type NewerBuildError struct {
	// Version is the fleet version under which the record was written; zero if unknown.
	Version int
	// Err is the reason why the record can't be decoded.
	Err error
}

// Error returns the version of the record if this build doesn't support it, else the reason.
func (n *NewerBuildError) Error() string {
	if n.Version > compat.Newest {
		return fmt.Sprintf("written by version %d, and this build reads up to %d", n.Version, compat.Newest)
	}
	return fmt.Sprintf("written by a newer build: %v", n.Err)
}

// Unwrap returns the reason.
func (n *NewerBuildError) Unwrap() error { return n.Err }

// newerBuildError returns the error for a record whose content can't be decoded.
func newerBuildError(body []byte, err error) error {
	var r struct {
		Version int `cbor:"4,keyasint"`
	}
	_ = cbor.Unmarshal(body, &r) // zero if the content can't be decoded at all
	return &NewerBuildError{Version: r.Version, Err: err}
}

// isNewerBuild reports whether an error is a NewerBuildError.
func isNewerBuild(err error) bool {
	var n *NewerBuildError
	return errors.As(err, &n)
}
