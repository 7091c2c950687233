// Package wait pauses until a time has passed or a context is done.
package wait

import (
	"context"
	"time"
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
