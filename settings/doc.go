// Package settings is the tree of settings by which operators control the fleet.
//
// The levels are fleet, site, pool and model. A level inherits every limit that it does not
// override; DefaultLimits acts as the level above the fleet. A tree is plain data: it is checked as
// a whole before it is accepted, and never changes after that. A change creates a new tree with a
// higher revision.
package settings
