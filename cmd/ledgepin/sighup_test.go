package main_test

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// catchesSignal reports whether a process has a handler for a signal.
func catchesSignal(pid int, s syscall.Signal) bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false // the process has ended
	}
	_, rest, _ := strings.Cut(string(data), "SigCgt:")
	field, _, _ := strings.Cut(rest, "\n")
	set, _ := strconv.ParseUint(strings.TrimSpace(field), 16, 64)
	return set&(1<<(s-1)) != 0
}

// TestSIGHUPDuringStartDoesNotEndProcess sends SIGHUP as soon as the Go runtime
// has installed its signal handlers, which is before any package can register for
// a signal.
func TestSIGHUPDuringStartDoesNotEndProcess(t *testing.T) {
	const tries, checks = 20, 1000
	sent := 0
	for range tries {
		cmd := exec.Command(binary, "run", "--config", "/nonexistent")
		assert.NilError(t, cmd.Start())
		for range checks {
			if catchesSignal(cmd.Process.Pid, syscall.SIGUSR1) {
				assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
				sent++
				break
			}
		}
		_ = cmd.Wait()
		status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
		assert.Assert(t, ok && !status.Signaled(), "ended by %v", status.Signal())
	}
	assert.Assert(t, sent > 0, "no SIGHUP was sent during a start")
}
