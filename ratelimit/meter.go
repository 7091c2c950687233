package ratelimit

import (
	"math"
	"time"
)

// meterTime is the time of which a Meter tells.
const meterWindow = time.Second

// Meter tells how many requests a second came of late.
type Meter struct {
	rate float64
	at   time.Time
}

// Count counts a request.
func (m *Meter) Count(now time.Time) {
	m.rate = m.Rate(now) + 1/meterWindow.Seconds()
	m.at = now
}

// Rate returns the requests a second.
func (m *Meter) Rate(now time.Time) float64 {
	return m.rate * math.Exp(-max(now.Sub(m.at), 0).Seconds()/meterWindow.Seconds())
}
