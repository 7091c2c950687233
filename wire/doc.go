// Package wire is the protocol between ledgepin's processes.
//
// Two processes share one WebSocket link. Each binary frame holds one Message
// in CBOR. The first frame of each side is a Hello with the range of versions
// that the side supports; both then use the highest version that they have in
// common. A peer that has none in common, or the wrong role, is refused with a
// typed error. After that both sides send heartbeats, which renew the leases of
// all requests of the link at once and carry the settings revision.
package wire
