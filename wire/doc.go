// Package wire is what ledgepin's own processes say to each other.
//
// Two processes share one WebSocket link. Each binary frame holds one Message
// in CBOR. The first frame of each side is a Hello with the range of versions
// that the side speaks; both then speak the highest that they have in common. A
// peer that has none in common, or the wrong role, is refused with a typed
// error. After that both sides send heartbeats, which renew leases for all requests of the link at
// once and carry the settings revision.
package wire
