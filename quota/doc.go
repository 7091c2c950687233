// Package quota bounds what organisations use, over many processes.
//
// A Limiter and a Ledger bound units a second with a burst, at the gateways and replicas of
// control that serve a routing table: each gateway counts the whole limit, and is told what
// the others have used. A Holder and a Broker bound open requests at entries, which lease
// parts of a limit from control.
//
// It is plain state: the time is an argument, and what has to be told is returned.
package quota
