// Package sighup catches SIGHUP from the first moment of a process that serves.
//
// The signal tells such a process that its settings have changed, also while it
// starts and while it stops, and would end it wherever nobody has asked for it.
package sighup

import (
	"os"
	"os/signal"
	"syscall"

	_ "github.com/ledgepin/ledgepin/internal/sighup/prestart" // the time before this package
)

// C gets the signals. It holds one: what matters is that there was one.
var C = make(chan os.Signal, 1)

// serveCommand is the command of a process that serves; in others the signal
// keeps its usual effect.
const serveCommand = "run"

// The packages that a command is made of take their time to initialize, on a
// small VM a tenth of a second and more, so that main would be too late.
func init() {
	if len(os.Args) > 1 && os.Args[1] == serveCommand {
		signal.Notify(C, syscall.SIGHUP)
	}
}
