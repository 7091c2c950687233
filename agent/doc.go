// Package agent is the process beside each backend server, the only one that
// talks to it.
//
// It holds the truth of its server: the slots under lease, the claims it has
// granted and the fence of the last order. Entries may act on old reports; the
// agent answers each reservation yes or no at once, so that they can't
// overload the server. The decisions are those of the packages lease, claim
// and order; this package moves messages and calls the engine or the service.
package agent
