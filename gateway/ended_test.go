package gateway

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/standin"
)

// lines is a log that a test reads.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// with returns the lines of an event.
func (l *lines) with(e *event.Event) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, line := range strings.Split(l.text.String(), "\n") {
		if strings.Contains(line, e.ID) {
			out = append(out, line)
		}
	}
	return out
}

// ends makes a server end under requests whose body is the one named.
func ends(body string) func(r *http.Request) standin.Fault {
	return func(r *http.Request) standin.Fault {
		if standin.BodyOf(r) == body && isDecode(r) {
			return standin.Crash
		}
		return standin.NoFault
	}
}

// TestEndedServerIsLogged wants a line with the content of a request under which a server
// has ended, and none where only the connection broke.
func TestEndedServerIsLogged(t *testing.T) {
	r := newRig(t)
	log := &lines{}
	r.gateway.log = slog.New(slog.NewTextHandler(log, nil))
	r.add("llm", "p1", "prefill")
	d := r.add("llm", "d1", "decode")
	d.SetFault(first(standin.LoseAnswer, isDecode))
	r.send("POST", "/review/1", "1", "a", work)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(log.with(event.ServerEnded)), 0, "the server is there")

	d.SetFault(ends("b"))
	r.send("POST", "/review/1", "2", "b", work)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := log.with(event.ServerEnded); len(got) != 1 || !strings.Contains(got[0], "server=d1") {
			return poll.Continue("%v", got)
		}
		return poll.Success()
	})
}
