// Package entry is the process that callers reach through the platform's
// balancer.
//
// It admits, places and follows requests by the decisions of package router,
// over links to the agents of its availability zone. It keeps no state that
// may not be lost: if it dies, its leases run out at the agents and the
// callers ask another entry.
package entry
