// Package consensus is the replicated log of control: a pure state machine
// after the Raft algorithm (D. Ongaro and J. Ousterhout, "In Search of an
// Understandable Consensus Algorithm", 2014), with pre-vote, a leader lease, a
// check of the quorum by the leader, snapshots, learners and one membership
// change at a time.
//
// Time and randomness come in, effects go out: what must be synced, and what
// may be sent only after it has been synced.
package consensus
