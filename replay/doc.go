// Package replay simulates a load pattern against the decisions of package dispatch in simulated
// time: gateways that exchange their reservations with a delay, engines with slots, memory and a
// processing rate, and callers that retry after the time that a refusal states. A result counts
// the requests served in time, late or not at all, the prompt tokens that were prefilled in vain,
// and the time that requests waited, so that policies can be tuned and their gains guarded by
// tests.
//
// The model of an engine is much simpler than a real one. A comparison of two policies shows which
// is better under a pattern and why, not what either achieves in operation.
package replay
