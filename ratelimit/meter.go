package ratelimit

import (
	"math"
	"time"
)

// meterWindow is the time constant of a Meter.
const meterWindow = time.Second

// Meter measures the recent rate of requests as an exponentially decaying average.
type Meter struct {
	rate float64
	at   time.Time
}

// Count counts a request.
func (m *Meter) Count(now time.Time) {
	m.rate = m.Rate(now) + 1/meterWindow.Seconds()
	m.at = now
}

// Rate returns the recent number of requests per second.
func (m *Meter) Rate(now time.Time) float64 {
	return m.rate * math.Exp(-max(now.Sub(m.at), 0).Seconds()/meterWindow.Seconds())
}
