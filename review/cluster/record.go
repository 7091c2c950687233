package cluster

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/clock"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// Record is the file that tells what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: clock.VM.Now()}, nil
}

// Note writes a line with the time since the start.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", clock.VM.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
