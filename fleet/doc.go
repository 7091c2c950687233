// Package fleet implements the state that the control replicas share: the
// settings tree with its revision, the routing table, the version of the fleet,
// the evacuated availability zones, and the results and history of changes.
//
// It is a deterministic state machine over the committed log, so that each
// replica has the same state, also after a restart from a snapshot.
package fleet
