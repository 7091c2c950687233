// Package warmup divides the requests that cold servers can serve among gateways.
//
// A server that has just started, or whose caches were dropped, can serve a few requests per second
// and fails well above that. It is also the least loaded of all, so every gateway would choose it.
// No gateway knows in time what the others send, so the bound is divided: each replica of control
// has a share of it, and leases that share to one of its gateways at a time.
//
// The code of both sides has no I/O and no clock: it gets the time as an argument, and returns what
// has to be sent.
package warmup
