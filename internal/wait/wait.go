// Package wait sleeps and runs periodic functions until a context is done.
package wait

import (
	"context"
	"time"

	"github.com/ledgepin/ledgepin/clock"
)

// For waits for d, or until ctx is done.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Every calls do once per interval, with the current time of c, until ctx is done.
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
