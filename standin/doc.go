// Package standin holds the outside systems that ledgepin meets, written for
// tests and for the dev command: a model engine, a plain service and the
// platform's list of VMs.
//
// The engine obeys the contract of package engine and computes nothing: its
// tokens follow from the prompt alone, so that an answer can be checked word
// for word, also when another engine went on with it.
package standin
