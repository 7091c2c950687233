// Package quota limits the usage of organisations across many processes.
//
// A Limiter and a Ledger limit units per second with a burst, at the gateways and the replicas of
// control that serve a routing table: each gateway counts against the whole limit and is notified
// of the usage of the others. A Holder and a Broker limit open requests at entries, which lease
// units of a limit from control.
//
// The package has no I/O and no clock: it gets the time as an argument, and returns what has to be
// sent.
package quota
