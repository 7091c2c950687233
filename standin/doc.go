// Package standin implements the external systems that ledgepin works with, for tests and for the
// dev command: model engines, plain services and the platform's list of VMs.
//
// The engine follows the contract of package engine and runs no model: its tokens depend on the
// prompt alone, so that a test can check an answer word for word, even if another engine continued
// it.
package standin
