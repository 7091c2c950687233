// Package claim makes sure that a call that must not be repeated runs at most
// once.
//
// Each idempotency key has a group of voters, the agents of the service's servers
// in the customer's home site. A voter grants a key to the first attempt that
// requests it, and to no other one until the key expires. An attempt may send
// its call only after a majority of the group has granted the key to it. Any two
// majorities have a voter in common, so no two attempts can both send.
//
// Voters keep their grants in memory. A voter that restarts has lost them, so it
// copies the grants of a majority of the group before it votes again. A slow
// attempt could still count a grant from before the restart. Therefore each vote
// includes the latest known incarnation of every other voter, and an attempt
// ignores the grants of older incarnations.
package claim
