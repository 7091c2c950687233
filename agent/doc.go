// Package agent implements the process that runs with each backend server and
// is the only one that sends it requests.
//
// It has the authoritative state of its server: the leased slots, the granted
// claims and the fence of the last order. Entries may act on outdated reports;
// the agent accepts or rejects each reservation at once, so that they can't
// overload the server. The decisions are made by the packages lease, claim and
// order; this package exchanges messages and calls the engine or the service.
package agent
