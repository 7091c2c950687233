// Package soak runs a small deployment of real ledgepin processes on the
// loopback address, makes faults from outside, and checks what must always hold
// from what callers, operators and backend servers saw.
//
// A run is made from a seed: the plan of faults is drawn from it, and so are the
// requests. The history of a run is plain data, and the checks are functions of
// it, so that each of them can be shown to fail on a history that breaks its
// rule.
package soak
