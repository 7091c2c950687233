package soak

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSlowReaderAtDeadlineCountsAsDisconnected checks that only a caller that reads too slowly for
// its own deadline is recorded as disconnected, and no other caller whose answer is cut.
func TestSlowReaderAtDeadlineCountsAsDisconnected(t *testing.T) {
	late := fmt.Errorf("reading: %w", context.DeadlineExceeded)
	for _, c := range []struct {
		slow         time.Duration
		err          error
		disconnected bool
	}{
		{maxReadPause, late, true}, {maxReadPause, io.ErrUnexpectedEOF, false}, {maxReadPause, nil, false}, {0, late, false},
	} {
		d := &deskCaller{maxReadPause: c.slow, load: &load{rec: &recorder{start: time.Now().Add(-second)}}}
		d.recordAttempt(&Request{ID: "q1", Kind: Desk}, c.err)
		q := d.load.rec.h.Requests[0]
		assert.Equal(t, q.LeftAt > 0, c.disconnected, "%v %v", c.slow, c.err)
		assert.Equal(t, q.Cut, c.err != nil)
	}
}
