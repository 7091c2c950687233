// Package router schedules the requests of an entry: it admits, queues or
// refuses each request, reserves its prefill and decode slots, tracks it
// through prefill, transfer and decode, and retries after failures.
//
// Core is a state machine without I/O. Each method takes the current time and
// an event, and returns the effects that the caller of the package has to
// carry out. The entry, the tests and the policy benchmark, which runs on
// virtual time, share this code.
//
// A decode slot is reserved before the prefill starts, because the result of a
// prefill expires after a few seconds and decode slots are nearly all in use at
// peak load.
package router
