package app

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// lockedBuffer is a buffer for a log that may be read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestSettingsChangedDuringStartAreRead changes the settings file between the
// start of a process and that of the watch. The first signal must apply the new
// content; a watch that compared it with the content at its own start would miss
// the change.
func TestSettingsChangedDuringStartAreRead(t *testing.T) {
	file := filepath.Join(t.TempDir(), "process.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("name: g\nzone: z\nroles: [gateway]\nnew: 1\n"), 0o600))
	log := &lockedBuffer{}
	p := &Process{log: slog.New(slog.NewTextHandler(log, nil))}
	changed := make(chan os.Signal, 1)
	changed <- os.Interrupt
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go p.Watch(ctx, file, []byte("name: g\nzone: z\nroles: [gateway]\n"), changed)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !strings.Contains(log.String(), file) {
			return poll.Continue("the new content was not read")
		}
		return poll.Success()
	})
}
