// Package event is the catalogue of everything that ledgepin writes to its log.
//
// Every log line carries the ID of an entry in the catalogue, so that an
// operator can look it up and alarms can match it without parsing text.
// docs/EVENTS.md is generated from the catalogue.
package event
