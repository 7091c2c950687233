package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/dispatch"
)

// TestReturnsFollowTheRoom wants one caller that finds no room by chance back
// soon, and many to be spread over the time in which there is room for them.
func TestReturnsFollowTheRoom(t *testing.T) {
	tests := []struct {
		name           string
		placed, before int // in the last three seconds; refused just before
		read           time.Duration
		latest         time.Duration
	}{
		{"by chance", 30, 0, 0, 3 * time.Second},
		{"some", 60, 8, 0, 3500 * time.Millisecond},
		{"many", 30, 100, 0, 4500 * time.Millisecond},
		{"no room at all of late", 0, 0, 0, 4500 * time.Millisecond},
		{"a queue of prompts", 30, 0, 2 * time.Second, 4500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			after := func(draw float64) time.Duration {
				r := &dispatch.Returns{}
				for range 50 { // long ago
					r.Placed(now.Add(-time.Minute))
					r.After(now.Add(-time.Minute), 0, 0.5)
				}
				for range tt.placed {
					r.Placed(now.Add(-time.Second))
				}
				for range tt.before {
					r.After(now, 0, 0.5)
				}
				return r.After(now, tt.read, draw)
			}
			assert.Equal(t, after(0), max(500*time.Millisecond, tt.read))
			assert.Equal(t, after(1).Round(10*time.Millisecond), tt.latest)
		})
	}
}
