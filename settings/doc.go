// Package settings is the tree that operators drive the system by.
//
// The levels are fleet, site, pool and model. A level inherits every limit
// that it does not override; the defaults stand in one place and act as the
// level above the fleet. A tree is plain data: it is checked as a whole before
// it is accepted, and it never changes after that. A change makes a new tree
// with a higher revision.
package settings
