// Package event is the catalogue of all kinds of lines that ledgepin writes to its log.
//
// Each log line carries the ID of its event, so that operators can look it up and alarms can
// match it without parsing text.
// docs/EVENTS.md is generated from the catalogue.
package event
