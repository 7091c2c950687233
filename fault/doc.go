// Package fault holds the errors that cross a boundary of ledgepin: to a
// caller, to an operator or to another process.
//
// An error has a code from the catalogue, and the step and the peer at which
// it arose. Whether a request ran is part of the code, never of the text: a
// code whose NotRun is true is only used while nothing was sent to an engine
// or a service. docs/API.md lists the codes.
package fault
