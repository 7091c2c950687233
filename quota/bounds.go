package quota

import "time"

// Limit is what an organisation may use: Rate units a second, and Burst units on top.
// There is none if Rate is zero.
type Limit struct{ Rate, Burst float64 }

// Bounds tell how use is judged: in no Window may it be above what the limit gives by
// more than the share Overshoot and Slack units.
type Bounds struct {
	Window           time.Duration
	Overshoot, Slack float64
}

// Parts of the bounds that are kept for what is counted late, or lost when processes end.
const (
	// reserveShare is the part of the slack.
	reserveShare = 1.0 / 2
	// reserveFor is the time for which all may use a limit without being told of each
	// other, at some times the rate: until news have passed two replicas or a cut is noticed.
	reserveTime = time.Second
)

func (b Bounds) reserve(l Limit) float64 {
	return reserveShare*b.Slack + l.Rate*reserveTime.Seconds()
}

// most returns what may be used in a window, but for the reserve.
func (b Bounds) windowMax(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overshoot) + b.Slack - b.reserve(l)
}

// rate returns what runs off in a second: as much as lets somebody who always asks for
// more have in each window what the limit gives in one, burst and all, if the bounds
// allow that. At the bare rate it would be less, though nothing may be refused that lies
// within the limit of the window.
func (b Bounds) leakRate(l Limit) float64 {
	w := b.Window.Seconds()
	if w <= 0 {
		return l.Rate
	}
	return max(min(l.Rate+l.Burst/w, (b.windowMax(l)-l.Burst)/w), l.Rate)
}

// room returns what a limit gives at once to somebody who has used nothing.
func (b Bounds) capacity(l Limit) float64 {
	return max(b.windowMax(l)-b.leakRate(l)*b.Window.Seconds(), l.Burst)
}

// start returns what is taken as used by somebody who knows nothing: an eighth of the reserve
// is free.
func (b Bounds) initialUsage(l Limit) float64 { return max(b.capacity(l)-b.reserve(l)/8, 0) }

// Share is the part of the limits that a gateway may use.
type Share struct {
	// Connected is that of all gateways that are told of each other, Disconnected what the
	// gateway may use by itself while it is not told.
	Connected, Disconnected float64
	// Updated is when it was told last, even that there is nothing new.
	Updated time.Time
}

// How long it counts that a gateway was told.
const (
	// tightFor is for organisations that have used more than half of their room: all
	// gateways of a fleet that is cut up take what is left of the limit each until then.
	// It is three of the steps in which a replica tells them.
	tightTimeout = 150 * time.Millisecond
	// looseFor is for the others. A packet that is lost is sent again after 200 ms.
	looseTimeout = 500 * time.Millisecond
	// tellWithin is the longest time between two tellings if no organisation has used
	// more than half of its room; else all are told at each step.
	maxUpdateInterval = 150 * time.Millisecond
)

// SplitLimit returns the parts of a limit for a group of gateways that are told of each
// other, of so many in all. The parts of all groups together are the whole.
func SplitLimit(connected, all int) (connectedShare, disconnectedShare float64) {
	n := float64(max(all, connected, 1))
	return float64(connected) / n, 1 / n
}
