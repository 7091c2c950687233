// Package soak runs a small deployment of real ledgepin processes on loopback addresses, injects
// faults from outside, and checks invariants on what callers, operators and backend servers
// observed.
//
// The seed of a run determines its plan of faults and its requests. The history of a run is plain
// data and the checks are functions of it, so that tests can show for each check that it fails on a
// history that breaks its rule.
package soak
