// Package warmup shares out what servers bear while they are cold.
//
// A server that has just started, or whose caches were dropped, bears a few requests a second
// and falls over well above that. It is also the emptiest of all, so every gateway would choose
// it. No gateway knows in time what the others send, so the bound is divided: each replica of
// control has a part of it, and lends that to one of its gateways at a time.
//
// Both sides are plain state: the time is an argument, and what has to be told is returned.
package warmup
