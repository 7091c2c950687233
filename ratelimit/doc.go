// Package ratelimit bounds the requests of all gateways together to a backend server that reports a
// limit of requests per second in its answers.
//
// No gateway knows in time what the others send, so a count of its own requests isn't enough: each
// request to such a server needs a token. Replicas of control own shares of each limit, and issue
// tokens to the gateways that have requests. A token that isn't used in time is lost.
//
// The code of both sides has no I/O and no clock: it gets the time as an argument, and returns what
// has to be sent.
package ratelimit
