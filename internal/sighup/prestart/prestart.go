//go:build cgo

// Package prestart ignores SIGHUP in a serving process from before the Go runtime starts. The
// runtime needs some milliseconds until a package can register a handler, and until then the
// signal would terminate the process. Package sighup registers its handler afterwards, which
// replaces the ignored state.
//
// Programs built without cgo are still terminated by a signal in that time.
package prestart

/*
#include <signal.h>
#include <string.h>

// The C library passes the arguments of main to constructors. Only the command that serves
// ignores the signal: in others it keeps its default effect.
__attribute__((constructor)) static void ignore_sighup(int argc, char **argv) {
	if (argc > 1 && strcmp(argv[1], "run") == 0) {
		signal(SIGHUP, SIG_IGN);
	}
}
*/
import "C"
