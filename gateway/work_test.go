package gateway

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

// TestWorkIsKnownBeforeFirstRunEnds checks that a gateway reports the work of its requests while
// the first run is in progress: roles that follow the load only after runs of some seconds are
// wrong during the first burst.
func TestWorkIsKnownBeforeFirstRunEnds(t *testing.T) {
	h := newHarness(t)
	h.add("llm", "p1", "prefill")
	h.add("llm", "d1", "decode").SetPace(0, 300*time.Millisecond, eventCount)
	go h.send("POST", "/review/1", "q1", "x", workHeaders)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f := h.gateway.fleet
		f.mu.Lock()
		defer f.mu.Unlock()
		list := f.demand(f.clock.Now())
		if len(list) != 1 || list[0].KVTokens == 0 || list[0].PrefillTime == 0 {
			return poll.Continue("%+v", list)
		}
		if f.view.Loads()["d1"].Runs != 1 {
			return poll.Error(errors.New("known only after the run"))
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}
