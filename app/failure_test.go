package app_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/app"
	"github.com/ledgepin/ledgepin/caller"
	"github.com/ledgepin/ledgepin/standin"
)

const longAnswer = 150

// waitFree waits until no engine holds memory for any request.
func waitFree(t *testing.T, d *app.Dev) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if held := d.Held(); len(held) > 0 {
			return poll.Continue("engines still hold %v", held)
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second))
}

// detail returns the body of an API error.
func detail(err error) string {
	var e *openai.Error
	if errors.As(err, &e) {
		return e.RawJSON()
	}
	return ""
}

// holder returns the name of the one engine among names that holds a request.
func holder(t *testing.T, d *app.Dev, names ...string) string {
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

// TestStreamSurvives breaks something in the middle of a streamed answer. The
// caller must get the whole answer, each token once.
func TestStreamSurvives(t *testing.T) {
	decodes := []string{"decode-1", "decode-2"}
	for _, c := range []struct {
		name    string
		actions []string // done to the decode server that streams
	}{
		{"decode engine dies", []string{"kill"}},
		{"agent dies and is back", []string{"restart-agent"}},
		{"agent dies for good", []string{"kill-agent"}},
		{"platform says leaving", []string{"leave"}},
		{"agent drains", []string{"drain-agent"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDev(t, app.DevOptions{TokenTime: 10 * time.Millisecond})
			cl := client(d, app.DevDeskToken)
			s := cl.Chat.Completions.NewStreaming(t.Context(), chat("Go on, whatever happens.", longAnswer))
			var text strings.Builder
			for n := 0; s.Next(); n++ {
				text.WriteString(s.Current().Choices[0].Delta.Content)
				if n == 20 {
					at := holder(t, d, decodes...)
					for _, a := range c.actions {
						assert.NilError(t, d.Break(at, a))
					}
				}
			}
			assert.NilError(t, s.Err(), "%s", detail(s.Err()))
			assert.Equal(t, text.String(), answerTo("Go on, whatever happens.", longAnswer))
			if c.name == "agent dies for good" {
				return // its engine is cleaned up by the next agent
			}
			waitFree(t, d)
		})
	}
}

func TestPrefillEngineDies(t *testing.T) {
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
	at := holder(t, d, "prefill-1", "prefill-2")
	assert.NilError(t, d.Break(at, "kill"))
	assert.NilError(t, <-done)
	assert.Equal(t, got.Choices[0].Message.Content, answerTo(prompt, 5))
	waitFree(t, d)
}

func TestTransferStalls(t *testing.T) {
	d := startDev(t, app.DevOptions{})
	cl := client(d, app.DevReviewToken)
	assert.NilError(t, d.Break("decode-1", "stall"))
	for range 4 {
		got, err := cl.Chat.Completions.New(t.Context(), chat("Which way?", 5))
		assert.NilError(t, err)
		assert.Equal(t, got.Choices[0].Message.Content, answerTo("Which way?", 5))
	}
	assert.NilError(t, d.Break("decode-1", "unstall"))
	waitFree(t, d)
}

// TestNoNewWorkForLeavingServers wants a leaving server idle within three
// seconds of the platform's (late) word, and busy again after its return.
func TestNoNewWorkForLeavingServers(t *testing.T) {
	d := startDev(t, app.DevOptions{})
	cl := client(d, app.DevDeskToken)
	assert.NilError(t, d.Break("decode-1", "leave"))
	time.Sleep(3 * time.Second)
	before := d.Engine("decode-1").Decodes()
	for i := range 10 {
		_, err := cl.Chat.Completions.New(t.Context(), chat(fmt.Sprint("question ", i), 3))
		assert.NilError(t, err)
	}
	assert.Equal(t, d.Engine("decode-1").Decodes(), before)
	assert.NilError(t, d.Break("decode-1", "return"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := cl.Chat.Completions.New(t.Context(), chat("again", 3))
		if err != nil || d.Engine("decode-1").Decodes() == before {
			return poll.Continue("decode-1 has no work yet: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// TestCallerGone lets callers go away in each phase. Nothing may stay held,
// also if the engine refuses the first cancels.
func TestCallerGone(t *testing.T) {
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
			at := holder(t, d, c.where...)
			d.Engine(at).RefuseCancels(3)
			cancel()
			assert.Assert(t, <-done != nil)
			waitFree(t, d)
		})
	}
}

func TestReviewOutlivesItsCaller(t *testing.T) {
	d := startDev(t, app.DevOptions{TokenTime: 10 * time.Millisecond})
	cl := client(d, app.DevReviewToken)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _, _ = cl.Chat.Completions.New(ctx, chat("a long review", 100)) }()
	at := holder(t, d, "decode-1", "decode-2")
	cancel()
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, len(d.Engine(at).Held()), 1, "the work goes on")
	waitFree(t, d)
}

func TestEntryDies(t *testing.T) {
	d := startDev(t, app.DevOptions{TokenTime: 50 * time.Millisecond, Entries: 2})
	cl := client(d, app.DevDeskToken)
	go func() { _, _ = cl.Chat.Completions.New(t.Context(), chat("long", 250)) }()
	holder(t, d, "decode-1", "decode-2")
	d.KillEntry(0)
	waitFree(t, d) // 250 tokens would take 12 s; the lease ends it before
}

// post sends a plain call and returns the status and the body.
func post(t *testing.T, url, token, key, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(data)
}

func code(t *testing.T, body string) caller.Error {
	t.Helper()
	var b caller.Body
	assert.NilError(t, json.NewDecoder(bytes.NewBufferString(body)).Decode(&b), body)
	return b.Error
}

func checkouts(d *app.Dev, body string) int {
	n := 0
	for _, name := range []string{"broker-1", "broker-2", "broker-3"} {
		n += d.Service(name).Checkouts(body)
	}
	return n
}

func checkoutURL(d *app.Dev, entry int) string {
	return "http://" + d.Callers[entry] + "/services/licence/checkout"
}

// TestCheckoutOnce sends one key many times at once through two entries. It
// must run once, and each answer must be that of the one run or say that the
// outcome is not known.
func TestCheckoutOnce(t *testing.T) {
	d := startDev(t, app.DevOptions{Entries: 2})
	for k := range 5 {
		seat := fmt.Sprint("seat-", k)
		body := fmt.Sprintf(`{"seat":%q}`, seat)
		var wg sync.WaitGroup
		var mu sync.Mutex
		answers := map[string]int{}
		for i := range 12 {
			wg.Go(func() {
				status, got := post(t, checkoutURL(d, i%2), app.DevDeskToken, seat, body)
				mu.Lock()
				defer mu.Unlock()
				if status == http.StatusOK {
					answers[got]++
					return
				}
				e := code(t, got)
				assert.Check(t, e.Code == "outcome_unknown" || e.Code == "claim_not_won", e.Code)
			})
		}
		wg.Wait()
		ran := checkouts(d, seat)
		assert.Assert(t, ran <= 1, "ran %d times", ran)
		assert.Assert(t, len(answers) <= 1, "%v", answers)
		if ran == 1 {
			status, got := post(t, checkoutURL(d, 1), app.DevDeskToken, seat, body)
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, answers[got] > 0 || len(answers) == 0, "a retry gets the recorded answer")
		}
	}
	status, got := post(t, checkoutURL(d, 0), app.DevDeskToken, "seat-0", `{"seat":"other"}`)
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	assert.Equal(t, code(t, got).Code, "idempotency_key_reused")
	status, got = post(t, checkoutURL(d, 0), app.DevDeskToken, "", `{"seat":"other"}`)
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Equal(t, code(t, got).Code, "idempotency_key_required")
	assert.Equal(t, checkouts(d, "other"), 0)
}

func TestCheckoutLost(t *testing.T) {
	t.Run("service dies in the call", func(t *testing.T) {
		d := startDev(t, app.DevOptions{})
		for _, n := range []string{"broker-1", "broker-2", "broker-3"} {
			d.Service(n).SetDelay(500 * time.Millisecond)
		}
		time.AfterFunc(200*time.Millisecond, func() {
			for _, n := range []string{"broker-1", "broker-2", "broker-3"} {
				_ = d.Break(n, "kill")
			}
		})
		_, got := post(t, checkoutURL(d, 0), app.DevDeskToken, "k", `{"seat":"s"}`)
		e := code(t, got)
		assert.Equal(t, e.Code, "outcome_unknown")
		assert.Assert(t, !e.NotRun)
		assert.Equal(t, checkouts(d, "s"), 1)
		_, got = post(t, checkoutURL(d, 0), app.DevDeskToken, "k", `{"seat":"s"}`)
		assert.Equal(t, code(t, got).Code, "outcome_unknown", "a retry does not run it again")
	})
	t.Run("service is down", func(t *testing.T) {
		d := startDev(t, app.DevOptions{})
		for _, n := range []string{"broker-1", "broker-2", "broker-3"} {
			assert.NilError(t, d.Break(n, "kill"))
		}
		_, got := post(t, checkoutURL(d, 0), app.DevDeskToken, "k", `{"seat":"s"}`)
		e := code(t, got)
		assert.Equal(t, e.Code, "no_server")
		assert.Assert(t, e.NotRun)
		assert.Equal(t, checkouts(d, "s"), 0)
	})
	t.Run("two voters away", func(t *testing.T) {
		d := startDev(t, app.DevOptions{})
		assert.NilError(t, d.Break("broker-1", "kill-agent"))
		assert.NilError(t, d.Break("broker-2", "kill-agent"))
		_, got := post(t, checkoutURL(d, 0), app.DevDeskToken, "k", `{"seat":"s"}`)
		assert.Equal(t, code(t, got).Code, "claim_unreached")
		assert.Equal(t, checkouts(d, "s"), 0)
	})
	t.Run("a voter loses its memory", func(t *testing.T) {
		d := startDev(t, app.DevOptions{})
		status, first := post(t, checkoutURL(d, 0), app.DevDeskToken, "k", `{"seat":"s"}`)
		assert.Equal(t, status, http.StatusOK)
		for _, n := range []string{"broker-1", "broker-2", "broker-3"} { // one after the other
			assert.NilError(t, d.Break(n, "restart-agent"))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if !d.Votes(n) {
					return poll.Continue("%s does not vote yet", n)
				}
				return poll.Success()
			}, poll.WithTimeout(10*time.Second))
		}
		_, again := post(t, checkoutURL(d, 0), app.DevDeskToken, "k", `{"seat":"s"}`)
		assert.Equal(t, again, first)
		assert.Equal(t, checkouts(d, "s"), 1)
	})
}

// TestScreeningOnce asks for one screening through two entries at a time, and
// again after it has been answered.
func TestScreeningOnce(t *testing.T) {
	d := startDev(t, app.DevOptions{Entries: 2, TokenTime: 10 * time.Millisecond})
	ask := func(entry int, key string) (int, string) {
		body := fmt.Sprintf(`{"model":%q,"max_tokens":30,"messages":[{"role":"user","content":"screen 400 EUR"}]}`, app.DevModel)
		return post(t, "http://"+d.Callers[entry]+"/v1/chat/completions", app.DevScreenToken, key, body)
	}
	done := make(chan string, 1)
	go func() {
		_, got := ask(0, "x")
		done <- got
	}()
	holder(t, d, "decode-1", "decode-2")
	status, got := ask(1, "x")
	assert.Equal(t, status, http.StatusConflict, got)
	assert.Equal(t, code(t, got).Code, "in_progress")
	first := <-done
	want := answerTo("screen 400 EUR", 30)
	assert.Assert(t, strings.Contains(first, want), first)
	status, got = ask(1, "x")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.Contains(got, want), got)
	assert.Equal(t, d.Engine("decode-1").Decodes()+d.Engine("decode-2").Decodes(), 1)
	status, got = ask(0, "")
	assert.Equal(t, status, http.StatusBadRequest, got)
	assert.Equal(t, standin.Answer("x", 0), "")
}

// TestRateSheetsFailOver wants every call answered while servers die.
func TestRateSheetsFailOver(t *testing.T) {
	d := startDev(t, app.DevOptions{})
	get := func() int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+d.Callers[0]+"/services/licence/rates", nil)
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+app.DevDeskToken)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	assert.NilError(t, d.Break("broker-1", "kill"))
	for range 8 {
		assert.Equal(t, get(), http.StatusOK)
	}
	assert.NilError(t, d.Break("broker-2", "kill-agent"))
	for range 8 {
		assert.Equal(t, get(), http.StatusOK)
	}
}

// TestDrainingEntry lets an entry drain while it streams: the stream ends in
// peace, and new work is refused as not run.
func TestDrainingEntry(t *testing.T) {
	d := startDev(t, app.DevOptions{TokenTime: 10 * time.Millisecond})
	cl := client(d, app.DevDeskToken)
	s := cl.Chat.Completions.NewStreaming(t.Context(), chat("until the end", 60))
	assert.Assert(t, s.Next())
	drained := make(chan struct{})
	go func() {
		d.Drain(t.Context())
		close(drained)
	}()
	time.Sleep(50 * time.Millisecond)
	_, got := post(t, "http://"+d.Callers[0]+"/v1/chat/completions", app.DevDeskToken, "",
		fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"late"}]}`, app.DevModel))
	e := code(t, got)
	assert.Equal(t, e.Code, "draining")
	assert.Assert(t, e.NotRun)
	n := 1
	for s.Next() {
		n++
	}
	assert.NilError(t, s.Err())
	assert.Equal(t, n, 61)
	<-drained
}
