package app_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/app"
	"github.com/ledgepin/ledgepin/caller"
	"github.com/ledgepin/ledgepin/standin"
)

// post sends a POST request and returns the status and the body.
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

// errorOf decodes the error of a body.
func errorOf(t *testing.T, body string) caller.Error {
	t.Helper()
	var b caller.ErrorBody
	assert.NilError(t, json.NewDecoder(bytes.NewBufferString(body)).Decode(&b), body)
	return b.Error
}

// countCheckouts returns how many times the brokers ran a checkout.
func countCheckouts(d *app.Dev, body string) int {
	n := 0
	for _, name := range []string{"broker-1", "broker-2", "broker-3"} {
		n += d.Service(name).Checkouts(body)
	}
	return n
}

func checkoutURL(d *app.Dev, entry int) string {
	return "http://" + d.Callers[entry] + "/services/licence/checkout"
}

// TestCheckoutRunsOnce sends concurrent requests with the same key through two
// entries. The checkout must run at most once, and each request must get the
// answer of that run, or an error that the outcome is unknown or that another
// request has the claim.
func TestCheckoutRunsOnce(t *testing.T) {
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
				e := errorOf(t, got)
				assert.Check(t, e.Code == "outcome_unknown" || e.Code == "claim_not_won", e.Code)
			})
		}
		wg.Wait()
		ran := countCheckouts(d, seat)
		assert.Assert(t, ran <= 1, "the checkout ran %d times", ran)
		assert.Assert(t, len(answers) <= 1, "different answers: %v", answers)
		if ran == 1 {
			status, got := post(t, checkoutURL(d, 1), app.DevDeskToken, seat, body)
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, answers[got] > 0 || len(answers) == 0, "a retry gets the recorded answer")
		}
	}
	status, got := post(t, checkoutURL(d, 0), app.DevDeskToken, "seat-0", `{"seat":"other"}`)
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	assert.Equal(t, errorOf(t, got).Code, "idempotency_key_reused")
	status, got = post(t, checkoutURL(d, 0), app.DevDeskToken, "", `{"seat":"other"}`)
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Equal(t, errorOf(t, got).Code, "idempotency_key_required")
	assert.Equal(t, countCheckouts(d, "other"), 0)
}

// TestFailedCheckoutIsNotRepeated checks that no checkout runs twice when its
// service or voters fail, and that the error reports whether it ran.
func TestFailedCheckoutIsNotRepeated(t *testing.T) {
	t.Run("service dies during the call", func(t *testing.T) {
		d := startDev(t, app.DevOptions{})
		for _, n := range []string{"broker-1", "broker-2", "broker-3"} {
			d.Service(n).SetDelay(500 * time.Millisecond)
		}
		time.AfterFunc(200*time.Millisecond, func() {
			for _, n := range []string{"broker-1", "broker-2", "broker-3"} {
				_ = d.RunAction(n, "kill")
			}
		})
		_, got := post(t, checkoutURL(d, 0), app.DevDeskToken, "k", `{"seat":"s"}`)
		e := errorOf(t, got)
		assert.Equal(t, e.Code, "outcome_unknown")
		assert.Assert(t, !e.NotRun)
		assert.Equal(t, countCheckouts(d, "s"), 1)
		_, got = post(t, checkoutURL(d, 0), app.DevDeskToken, "k", `{"seat":"s"}`)
		assert.Equal(t, errorOf(t, got).Code, "outcome_unknown", "a retry does not run it again")
	})
	t.Run("service is down", func(t *testing.T) {
		d := startDev(t, app.DevOptions{})
		for _, n := range []string{"broker-1", "broker-2", "broker-3"} {
			assert.NilError(t, d.RunAction(n, "kill"))
		}
		_, got := post(t, checkoutURL(d, 0), app.DevDeskToken, "k", `{"seat":"s"}`)
		e := errorOf(t, got)
		assert.Equal(t, e.Code, "no_server")
		assert.Assert(t, e.NotRun)
		assert.Equal(t, countCheckouts(d, "s"), 0)
	})
	t.Run("two voters are down", func(t *testing.T) {
		d := startDev(t, app.DevOptions{})
		assert.NilError(t, d.RunAction("broker-1", "kill-agent"))
		assert.NilError(t, d.RunAction("broker-2", "kill-agent"))
		_, got := post(t, checkoutURL(d, 0), app.DevDeskToken, "k", `{"seat":"s"}`)
		assert.Equal(t, errorOf(t, got).Code, "claim_unreached")
		assert.Equal(t, countCheckouts(d, "s"), 0)
	})
	t.Run("voters restart without their memory", func(t *testing.T) {
		d := startDev(t, app.DevOptions{})
		status, first := post(t, checkoutURL(d, 0), app.DevDeskToken, "k", `{"seat":"s"}`)
		assert.Equal(t, status, http.StatusOK)
		for _, n := range []string{"broker-1", "broker-2", "broker-3"} { // one at a time, so that a majority remains
			assert.NilError(t, d.RunAction(n, "restart-agent"))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if !d.Votes(n) {
					return poll.Continue("%s does not vote yet", n)
				}
				return poll.Success()
			}, poll.WithTimeout(10*time.Second))
		}
		_, again := post(t, checkoutURL(d, 0), app.DevDeskToken, "k", `{"seat":"s"}`)
		assert.Equal(t, again, first)
		assert.Equal(t, countCheckouts(d, "s"), 1)
	})
}

// TestScreeningRunsOnce requests the same screening through a second entry while
// it runs, which must be refused, and after it has ended, which must return the
// recorded answer.
func TestScreeningRunsOnce(t *testing.T) {
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
	holdingEngine(t, d, "decode-1", "decode-2")
	status, got := ask(1, "x")
	assert.Equal(t, status, http.StatusConflict, got)
	assert.Equal(t, errorOf(t, got).Code, "in_progress")
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

// TestRetryAtAnotherEntrySupersedesFirst retries a request with its key at
// another entry while the first one runs. Only the retry must get a complete
// answer, and the first must end as superseded.
func TestRetryAtAnotherEntrySupersedesFirst(t *testing.T) {
	d := startDev(t, app.DevOptions{Entries: 2, TokenTime: 10 * time.Millisecond})
	ask := func(entry, tokens int) (int, string) {
		body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"receipt, please"}]}`, app.DevModel, tokens)
		return post(t, "http://"+d.Callers[entry]+"/v1/chat/completions", app.DevDeskToken, "same", body)
	}
	first := make(chan string, 1)
	go func() {
		_, got := ask(0, 250)
		first <- got
	}()
	holdingEngine(t, d, "decode-1", "decode-2")
	status, got := ask(1, 20)
	assert.Equal(t, status, http.StatusOK, got)
	assert.Assert(t, strings.Contains(got, answerTo("receipt, please", 20)), got)
	assert.Equal(t, errorOf(t, <-first).Code, "superseded")
	waitFree(t, d)
}

// TestIdempotentCallsFailOver checks that every idempotent call succeeds while
// servers and agents die.
func TestIdempotentCallsFailOver(t *testing.T) {
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
	assert.NilError(t, d.RunAction("broker-1", "kill"))
	for range 8 {
		assert.Equal(t, get(), http.StatusOK)
	}
	assert.NilError(t, d.RunAction("broker-2", "kill-agent"))
	for range 8 {
		assert.Equal(t, get(), http.StatusOK)
	}
}

// TestDrainingEntryCompletesStreams drains an entry during a stream. The stream
// must complete, and new requests must be refused as not run.
func TestDrainingEntryCompletesStreams(t *testing.T) {
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
	e := errorOf(t, got)
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

// TestKeysThatAreNotTextAreRefused guards against two keys that other processes receive as the same
// text: one caller would get the answer of the other.
func TestKeysThatAreNotTextAreRefused(t *testing.T) {
	d := startDev(t, app.DevOptions{Entries: 1})
	for _, key := range []string{"\xff", "\xfe", "a\xe2\x82"} {
		status, got := post(t, checkoutURL(d, 0), app.DevDeskToken, key, `{"seat":"s"}`)
		assert.Equal(t, status, http.StatusBadRequest, got)
	}
	assert.Equal(t, countCheckouts(d, "s"), 0)
}
