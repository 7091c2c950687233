// Package sighup receives SIGHUP in a serving process from the time it starts.
//
// The signal means that the settings file has changed. It may arrive while the process
// starts or stops, and terminates the process while no handler is registered.
package sighup

import (
	"os"
	"os/signal"
	"syscall"

	_ "github.com/ledgepin/ledgepin/internal/sighup/prestart" // ignores SIGHUP until this package is initialized
)

// C receives the signals. Its buffer holds one, since several mean the same as one.
var C = make(chan os.Signal, 1)

// serveCommand is the subcommand of a serving process. In other commands SIGHUP keeps its
// default effect.
const serveCommand = "run"

// The handler is registered here rather than in main, since initializing all packages of the
// command takes 0.1 s and more on a small VM.
func init() {
	if len(os.Args) > 1 && os.Args[1] == serveCommand {
		signal.Notify(C, syscall.SIGHUP)
	}
}
