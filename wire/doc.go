// Package wire is what ledgepin's own processes say to each other.
//
// Two processes share one WebSocket link. Each binary frame holds one Message
// in CBOR. The first frame of each side is a Hello; a peer with another
// protocol version or role is refused with a typed error. After that both
// sides send heartbeats, which renew leases for all requests of the link at
// once and carry the settings revision.
package wire
