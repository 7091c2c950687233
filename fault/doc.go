// Package fault holds the errors that cross a boundary of ledgepin: to a caller, to an
// operator or to another process.
//
// An error has a code from the catalogue, and the step and the peer at which it occurred.
// Whether a request ran is part of the code, never of the text: a code with NotRun is
// used only while nothing has been sent to an engine or a service. docs/API.md lists the
// codes.
package fault
