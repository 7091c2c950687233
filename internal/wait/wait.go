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

// Each calls do each time that a while has passed, with the time of a clock, until ctx is
// done.
func Each(ctx context.Context, c *clock.Clock, every time.Duration, do func(now time.Time)) {
	t := time.NewTicker(every)
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
