// Package lease decides who holds the slots of one backend server.
//
// A slot is held under a lease of an owner, the entry that asked for it. An
// owner renews all its leases by one heartbeat on its link, so the cost of
// renewal does not grow with the requests. A slot is free again only when the
// engine has confirmed that nothing of the request is left, so cancels are
// repeated until then. The table is plain state: time comes in, effects go
// out.
package lease
