package demand

import "time"

// Rate measures the rate of all requests of a gateway. The zero value is ready for use.
type Rate struct{ meter Meter }

// Add counts a request.
func (r *Rate) Add(now time.Time) { r.meter.Add(now, Key{}, 0, 0) }

// Read returns the number of requests in 1,000 s, over the last two seconds.
func (r *Rate) Read(now time.Time) int { return Find(r.meter.List(now), Key{}).Rate }

// RateChanged reports whether a rate differs from the one sent last by more than chance: by more than a
// half.
func RateChanged(sent, rate int) bool { return 2*rate > 3*sent || 3*rate < 2*sent }
