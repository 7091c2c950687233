// Package app puts the roles of one process together: from its settings file,
// or, for the dev command, all roles with stand-ins around them.
package app
