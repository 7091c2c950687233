// Package entry implements the process that callers reach through the
// platform's load balancer.
//
// It admits, places and tracks requests by the decisions of package router,
// over links to the agents of its availability zone. It has no state that must
// survive: if it crashes, its leases expire at the agents and the callers
// retry at another entry.
package entry
