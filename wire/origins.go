package wire

import "github.com/ledgepin/ledgepin/origin"

// Origins carries the software versions at which streams began. It is sent from version
// OriginsVersion on.
type Origins struct {
	// Began are attempts and where they began: those of a gateway's callers, those of all
	// gateways of a replica, or the answer to Ask.
	Began []origin.Batch `cbor:"1,keyasint,omitempty"`
	// Ask are the keys of attempts that the sender asks for, one after the other. The answer
	// has each of them in Began, Doubtful or Unknown.
	Ask     []byte `cbor:"2,keyasint,omitempty"`
	Unknown []byte `cbor:"3,keyasint,omitempty"`
	// Versions are the recent versions of all services that have had more than one.
	Versions []origin.SeenVersion `cbor:"4,keyasint,omitempty"`
	// Doubtful are attempts like those in Began that are in doubt. Builds that do not read it know
	// nothing about these attempts; so an answer has them in Unknown as well.
	Doubtful []origin.DoubtfulBatch `cbor:"5,keyasint,omitempty"`
}

// OriginsOf returns the message that carries records.
func OriginsOf(r origin.Records) *Origins { return &Origins{Began: r.Certain, Doubtful: r.Doubtful} }

// Records returns the records that the message carries.
func (m *Origins) Records() origin.Records {
	return origin.Records{Certain: m.Began, Doubtful: m.Doubtful}
}
