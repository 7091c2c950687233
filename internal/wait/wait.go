// Package wait pauses until a time has passed or a context is done.
package wait

import (
	"context"
	"time"

	"github.com/ledgepin/ledgepin/clock"
)

// For waits for d, or less if ctx is done before.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Every calls do each time that a while has passed, with the time of a clock, until ctx is
// done.
func Every(ctx context.Context, c *clock.Clock, interval time.Duration, do func(now time.Time)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			do(c.Now())
		}
	}
}
