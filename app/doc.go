// Package app starts the roles of one process: those of its settings file or,
// for the dev command, all roles together with stand-ins for the engines, the
// services and the platform.
package app
