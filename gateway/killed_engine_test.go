package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/standin"
)

// TestEngineKilledBetweenEventsIsNotComplete guards against an answer that looks complete although
// its engine ended in the middle of it: without a length, the end of the connection between two
// events looks like the end of the answer.
func TestEngineKilledBetweenEventsIsNotComplete(t *testing.T) {
	const events = 40
	for _, path := range []string{"/review/1", "/desk/1"} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t)
			b := h.add("llm", "d1", registry.Decode)
			b.SetBehaviour(standin.Behaviour{Unframed: true})
			b.SetPace(0, 20*time.Millisecond, events)
			done := make(chan reply, 1)
			go func() { done <- h.send("POST", path, "q1", "x", workHeaders) }()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if b.Running() == 0 {
					return poll.Continue("no run")
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond))
			time.Sleep(110 * time.Millisecond)
			if path == "/desk/1" {
				h.add("llm", "d2", registry.Decode).SetPace(0, time.Millisecond, events)
			}
			b.Kill()
			got := <-done
			assert.Equal(t, got.status, 200)
			assert.Check(t, orderError(got, 0, events) == "", fmt.Sprint(orderError(got, 0, events)))
			assert.Equal(t, got.truncated, path == "/review/1", "%q", got.body)
		})
	}
}
