// Package fleet is the state that control replicates: the settings tree with
// its revision, the answers to the changes that were made, and their history.
//
// It is a deterministic state machine over the committed log, so that each
// replica has the same state, also after a restart from a snapshot.
package fleet
