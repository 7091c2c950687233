// Package router decides what becomes of each request at an entry: it admits,
// defers or refuses it, reserves its prefill and decode slots, follows it
// through prefill, transfer and decode, and retries what failed.
//
// Core is plain state. Every call takes the time and what has happened, and
// returns effects for the shell to carry out. The same code runs in the entry,
// in the tests and in the policy benchmark on virtual time.
//
// A decode slot is reserved before a prefill starts, because the result of a
// prefill lives only a few seconds and decode is nearly full at the peak.
package router
