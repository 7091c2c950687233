package membudget

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestConcurrentRequestsReleaseAllMemory guards against requests that never end or memory that
// stays held, when many requests reserve memory concurrently and some callers disconnect.
func TestConcurrentRequestsReleaseAllMemory(t *testing.T) {
	b := New(Limits{Total: 400, Organisation: 200, Request: 100}, time.Minute, time.Now)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if i%7 == 0 {
				time.AfterFunc(time.Millisecond, cancel)
			}
			a := b.Open([]string{"", "a", "b"}[i%3], func() {})
			defer a.Close()
			for range 10 {
				if err := a.Reserve(ctx, 10); err != nil {
					assert.Check(t, errors.Is(err, context.Canceled), "%v", err)
					return
				}
				assert.Check(t, b.Held() <= 400)
				time.Sleep(time.Millisecond)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, b.Held(), int64(0))
	assert.Equal(t, len(b.accounts), 0)
}

// TestSlowCallersArePreempted guards against slow callers that keep memory while others wait. Only
// one may be preempted at a time, and none while no request waits.
func TestSlowCallersArePreempted(t *testing.T) {
	const slowAfter = 40 * time.Millisecond
	b := New(Limits{Total: 300, Request: 100}, slowAfter, time.Now)
	var mu sync.Mutex
	preemptions := 0
	for range 3 {
		var a *Account
		a = b.Open("", func() {
			mu.Lock()
			defer mu.Unlock()
			preemptions++
			go a.Close()
		})
		assert.NilError(t, a.Reserve(t.Context(), 100))
		a.StartWriting()
	}
	time.Sleep(3 * slowAfter)
	mu.Lock()
	assert.Equal(t, preemptions, 0, "no request waits")
	mu.Unlock()
	a := b.Open("", func() {})
	defer a.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(t, a.Reserve(ctx, 100))
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, preemptions, 1)
}

// TestRequestLargerThanItsLimit guards against a request that waits for more memory than it may
// hold; it must be refused at once.
func TestRequestLargerThanItsLimit(t *testing.T) {
	b := New(Limits{Total: 300, Request: 100}, time.Minute, time.Now)
	a := b.Open("", func() {})
	defer a.Close()
	assert.Assert(t, errors.Is(a.Reserve(t.Context(), 101), ErrTooLarge))
	assert.Assert(t, !a.TryReserve(101))
	var none *Account
	assert.NilError(t, none.Reserve(t.Context(), 1<<40))
	none.Close()
}
