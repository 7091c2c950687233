// Package poison identifies requests by their content and records those that were running when
// servers ended, so that a request that ends each server which runs it is refused when it is sent
// again, under any ID and through any gateway.
//
// All runs of a server end with it, so a single ending doesn't show which of them caused it. A
// content is blocked if several servers have ended while running it and it hasn't completed since.
//
// Table has no I/O and no clock: it gets the time as an argument and returns what has to be sent.
// Its entries only grow until they expire, so tables that exchange them agree, in whatever order
// and however often they are merged.
package poison
