// Package control is the process that keeps the settings: one replica of the
// replicated log.
//
// It is never on the path of a request. It moves packets between replicas,
// syncs what must be durable before anything is sent, applies what is
// committed, and spreads each accepted revision to the relays below.
package control
