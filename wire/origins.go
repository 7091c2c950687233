package wire

import "github.com/ledgepin/ledgepin/origin"

// Origins carries the software versions at which streams began. It is sent from version
// OriginsVersion on.
type Origins struct {
	// Began are attempts and where they began: those of a gateway's callers, those of all
	// gateways of a replica, or the answer to Ask.
	Began []origin.Batch `cbor:"1,keyasint,omitempty"`
	// Ask are the keys of attempts that the sender asks for, one after the other. The answer
	// has each of them in Began or in Unknown.
	Ask     []byte `cbor:"2,keyasint,omitempty"`
	Unknown []byte `cbor:"3,keyasint,omitempty"`
	// Versions are the recent versions of all services that have had more than one.
	Versions []origin.SeenVersion `cbor:"4,keyasint,omitempty"`
}
