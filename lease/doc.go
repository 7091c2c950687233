// Package lease manages the slots of one backend server.
//
// A slot is leased to an owner, the entry that reserved it. An owner renews all
// its leases with one heartbeat on its link, so the cost of renewal does not
// grow with the number of requests. The slot of a running request is free again
// only when the engine has confirmed that it holds nothing of the request any
// more, so cancels are repeated until then. Table is a state machine without
// I/O: its methods take the current time and return the cancels to send.
package lease
