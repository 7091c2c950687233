package app_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/app"
)

const longAnswerTokens = 150

// waitFree waits until no engine holds memory for a request.
func waitFree(t *testing.T, d *app.Dev) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if held := d.Held(); len(held) > 0 {
			return poll.Continue("engines still hold %v", held)
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second))
}

// errorBody returns the body of an API error, empty for other errors.
func errorBody(err error) string {
	var e *openai.Error
	if errors.As(err, &e) {
		return e.RawJSON()
	}
	return ""
}

// holdingEngine waits until one of the named engines holds a request, and returns
// its name.
func holdingEngine(t *testing.T, d *app.Dev, names ...string) string {
	t.Helper()
	var out string
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, n := range names {
			if len(d.Engine(n).Held()) > 0 {
				out = n
				return poll.Success()
			}
		}
		return poll.Continue("no engine of %v holds a request", names)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
	return out
}

// TestStreamSurvivesFailures makes the decode server of a stream fail or leave
// during the answer. The caller must get the complete answer, each token once.
func TestStreamSurvivesFailures(t *testing.T) {
	decodes := []string{"decode-1", "decode-2"}
	for _, c := range []struct {
		name    string
		actions []string // run on the decode server of the stream
	}{
		{"decode engine dies", []string{"kill"}},
		{"agent restarts", []string{"restart-agent"}},
		{"agent dies", []string{"kill-agent"}},
		{"platform reports it as leaving", []string{"leave"}},
		{"agent drains", []string{"drain-agent"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDev(t, app.DevOptions{TokenTime: 10 * time.Millisecond})
			cl := client(d, app.DevDeskToken)
			s := cl.Chat.Completions.NewStreaming(t.Context(), chat("Go on, whatever happens.", longAnswerTokens))
			var text strings.Builder
			for n := 0; s.Next(); n++ {
				text.WriteString(s.Current().Choices[0].Delta.Content)
				if n == 20 {
					server := holdingEngine(t, d, decodes...)
					for _, a := range c.actions {
						assert.NilError(t, d.RunAction(server, a))
					}
				}
			}
			assert.NilError(t, s.Err(), "%s", errorBody(s.Err()))
			assert.Equal(t, text.String(), answerTo("Go on, whatever happens.", longAnswerTokens))
			if c.name == "agent dies" {
				return // the next agent would free the memory of its engine
			}
			waitFree(t, d)
		})
	}
}

func TestRequestSurvivesPrefillEngineFailure(t *testing.T) {
	d := startDev(t, app.DevOptions{PrefillRate: 4000})
	cl := client(d, app.DevReviewToken)
	prompt := strings.Repeat("checkout denied for seat cad-7; ", 250) // half a second of prefill
	done := make(chan error, 1)
	var got *openai.ChatCompletion
	go func() {
		var err error
		got, err = cl.Chat.Completions.New(t.Context(), chat(prompt, 5))
		done <- err
	}()
	server := holdingEngine(t, d, "prefill-1", "prefill-2")
	assert.NilError(t, d.RunAction(server, "kill"))
	assert.NilError(t, <-done)
	assert.Equal(t, got.Choices[0].Message.Content, answerTo(prompt, 5))
	waitFree(t, d)
}

// TestRequestsSurviveStalledTransfers checks that requests succeed at the other
// decode server while transfers to one of them stall.
func TestRequestsSurviveStalledTransfers(t *testing.T) {
	d := startDev(t, app.DevOptions{})
	cl := client(d, app.DevReviewToken)
	assert.NilError(t, d.RunAction("decode-1", "stall"))
	for range 4 {
		got, err := cl.Chat.Completions.New(t.Context(), chat("Which way?", 5))
		assert.NilError(t, err)
		assert.Equal(t, got.Choices[0].Message.Content, answerTo("Which way?", 5))
	}
	assert.NilError(t, d.RunAction("decode-1", "unstall"))
	waitFree(t, d)
}

// TestLeavingServerGetsNoRequests checks that a server gets no requests three
// seconds after it begins to leave, although the platform reports that a second
// late, and that it gets requests again after its return.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	d := startDev(t, app.DevOptions{})
	cl := client(d, app.DevDeskToken)
	assert.NilError(t, d.RunAction("decode-1", "leave"))
	time.Sleep(3 * time.Second)
	before := d.Engine("decode-1").Decodes()
	for i := range 10 {
		_, err := cl.Chat.Completions.New(t.Context(), chat(fmt.Sprint("question ", i), 3))
		assert.NilError(t, err)
	}
	assert.Equal(t, d.Engine("decode-1").Decodes(), before)
	assert.NilError(t, d.RunAction("decode-1", "return"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := cl.Chat.Completions.New(t.Context(), chat("again", 3))
		if err != nil || d.Engine("decode-1").Decodes() == before {
			return poll.Continue("decode-1 has no request yet: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// TestDisconnectedCallerHoldsNoMemory disconnects callers in each phase. The
// memory of the request must be freed, also if the engine refuses the first
// cancels.
func TestDisconnectedCallerHoldsNoMemory(t *testing.T) {
	for _, c := range []struct {
		name   string
		rate   float64
		tokens time.Duration
		where  []string
	}{
		{"in prefill", 300, time.Millisecond, []string{"prefill-1", "prefill-2"}},
		{"in decode", 100000, 20 * time.Millisecond, []string{"decode-1", "decode-2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDev(t, app.DevOptions{PrefillRate: c.rate, TokenTime: c.tokens})
			cl := client(d, app.DevDeskToken)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() {
				_, err := cl.Chat.Completions.New(ctx, chat(strings.Repeat("a seat, please ", 30), 200))
				done <- err
			}()
			server := holdingEngine(t, d, c.where...)
			d.Engine(server).RefuseCancels(3)
			cancel()
			assert.Assert(t, <-done != nil)
			waitFree(t, d)
		})
	}
}

// TestReviewContinuesAfterDisconnect checks that a request of a class with
// keep_when_gone runs to its end after its caller has disconnected.
func TestReviewContinuesAfterDisconnect(t *testing.T) {
	d := startDev(t, app.DevOptions{TokenTime: 10 * time.Millisecond})
	cl := client(d, app.DevReviewToken)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _, _ = cl.Chat.Completions.New(ctx, chat("a long review", 100)) }()
	server := holdingEngine(t, d, "decode-1", "decode-2")
	cancel()
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, len(d.Engine(server).Held()), 1, "the request does not continue")
	waitFree(t, d)
}

// TestFailedEntryHoldsNoMemory checks that the leases of a failed entry expire, so
// that its requests hold no memory at the engines.
func TestFailedEntryHoldsNoMemory(t *testing.T) {
	d := startDev(t, app.DevOptions{TokenTime: 50 * time.Millisecond, Entries: 2})
	cl := client(d, app.DevDeskToken)
	go func() { _, _ = cl.Chat.Completions.New(t.Context(), chat("long", 250)) }()
	holdingEngine(t, d, "decode-1", "decode-2")
	d.KillEntry(0)
	waitFree(t, d) // the 250 tokens take 12 s; the lease expires before
}
