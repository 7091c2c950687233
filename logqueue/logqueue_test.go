package logqueue_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/logqueue"
)

// blockedWriter is a writer whose writes block until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func line(level, id string) []byte {
	return fmt.Appendf(nil, "{\"level\":%q,\"id\":%q}\n", level, id)
}

// TestBlockedOutputDoesNotBlockLogging checks that a log whose output isn't read neither blocks the
// code that logs nor grows without bound, that it keeps warnings rather than other lines, and
// that it reports the number of dropped lines.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	w := &blockedWriter{open: make(chan struct{})}
	counted := 0
	q := logqueue.New(w, 10000, func(n int) { counted += n })
	const ordinary, warnings = 2000, 20
	written := make(chan struct{})
	go func() {
		for n := range ordinary {
			_, _ = q.Write(line("INFO", fmt.Sprint("r", n/2)))
		}
		for n := range warnings {
			_, _ = q.Write(line("WARN", fmt.Sprint("w", n)))
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("a blocked output blocks the code that logs")
	}
	close(w.open)
	q.Close(5 * time.Second)
	out := w.buf.String()
	assert.Equal(t, strings.Count(out, `"WARN","id":"w`), warnings, "all warnings are kept")
	kept := strings.Count(out, `"INFO"`)
	assert.Assert(t, kept < 500 && len(out) < 30000, "kept %d lines, %d bytes", kept, len(out))
	assert.Equal(t, counted, ordinary-kept)
}

// TestLinesOfRequestAreKeptOrDroppedTogether checks that the lines of a request are all kept or all
// dropped while the queue is more than half full.
func TestLinesOfRequestAreKeptOrDroppedTogether(t *testing.T) {
	w := &blockedWriter{open: make(chan struct{})}
	q := logqueue.New(w, 40000, nil)
	for filled := 0; filled < 21000; { // fill it to more than half
		l := line("INFO", "filler")
		_, _ = q.Write(l)
		filled += len(l)
	}
	for round := range 3 {
		for n := range 100 {
			_, _ = q.Write(line("INFO", fmt.Sprintf("q%03d", n)))
		}
		_ = round
	}
	close(w.open)
	q.Close(5 * time.Second)
	kept := 0
	for n := range 100 {
		c := strings.Count(w.buf.String(), fmt.Sprintf(`"q%03d"`, n))
		assert.Assert(t, c == 0 || c == 3, "request %d has %d of 3 lines", n, c)
		if c == 3 {
			kept++
		}
	}
	assert.Assert(t, kept > 5 && kept < 60, "kept %d requests", kept)
}

func TestCloseWritesQueuedLines(t *testing.T) {
	var buf bytes.Buffer
	q := logqueue.New(&buf, logqueue.DefaultBytes, nil)
	for n := range 100 {
		_, _ = q.Write(line("INFO", fmt.Sprint(n)))
	}
	q.Close(time.Second)
	assert.Equal(t, strings.Count(buf.String(), "\n"), 100)
	_, err := q.Write(line("INFO", "late"))
	assert.NilError(t, err)
}

func BenchmarkWrite(b *testing.B) {
	q := logqueue.New(io.Discard, logqueue.DefaultBytes, nil)
	l := line("INFO", "abcdef")
	b.ReportAllocs()
	for range b.N {
		_, _ = q.Write(l)
	}
}
