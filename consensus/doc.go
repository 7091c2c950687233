// Package consensus implements the replicated log of control as a pure state machine of the Raft
// algorithm (D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm",
// 2014), with pre-vote, a leader lease, a quorum check by the leader, snapshots, learners and one
// membership change at a time.
//
// Time and randomness are passed in. The effects are returned: what must be synced, and what may
// be sent only after the sync.
package consensus
