// Package ratelimit bounds what all gateways together send to a backend server that names a
// limit of requests a second in its answers.
//
// No gateway knows in time what the others send, so nobody sends to such a server by its own
// count: a request needs a token. Replicas of control own parts of each limit, and issue
// tokens to the gateways that have requests. A token that is not used in time is lost.
//
// Both sides are plain state: the time is an argument, and what has to be told is returned.
package ratelimit
