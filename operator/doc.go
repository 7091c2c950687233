// Package operator is the HTTP interface for operators: health, metrics, the
// state dump, decision records and the settings tree.
package operator
