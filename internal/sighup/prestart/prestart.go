//go:build cgo

// Package prestart ignores SIGHUP from the time before the Go runtime starts, in a
// process that serves. The runtime takes some milliseconds until a package can ask
// for the signal, and until then it would end the process. Package hangup asks for
// it afterwards, which ends the ignoring.
//
// A program that is built without cgo has the gap.
package prestart

/*
#include <signal.h>
#include <string.h>

// The C library gives constructors the arguments of main. Only the command that
// serves is meant: in others the signal keeps its usual effect.
__attribute__((constructor)) static void ignore_sighup(int argc, char **argv) {
	if (argc > 1 && strcmp(argv[1], "run") == 0) {
		signal(SIGHUP, SIG_IGN);
	}
}
*/
import "C"
