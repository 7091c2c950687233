// Package claim lets a call that may not be repeated run at most once.
//
// Each key has a group of voters, the agents beside the service's servers in
// the customer's home site. A voter grants a key to the first attempt that
// asks, and to no other while the key lives. An attempt may send its call only
// after a majority has granted it. Any two majorities share a voter, so no two
// attempts can both send.
//
// Voters keep their grants in memory. One that restarts has forgotten what it
// granted, so it copies the grants of a majority of the group before it votes.
// A grant that it gave before the restart could still be counted by a slow
// attempt; therefore each voter tells with its vote which incarnation of every
// other voter it knows, and an attempt counts no grant of an older one.
package claim
