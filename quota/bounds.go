package quota

import "time"

// Limit is what an organisation may use: Rate units per second, and Burst units on top. A Rate of
// zero means no limit.
type Limit struct{ Rate, Burst float64 }

// Bounds bounds the usage beyond a limit: in no Window may it exceed what the limit allows by more
// than the fraction Overshoot and Slack units.
type Bounds struct {
	Window           time.Duration
	Overshoot, Slack float64
}

// Reserves of the bounds, for usage that is counted late or lost when processes end.
const (
	// reserveShare is the reserved fraction of the slack.
	reserveShare = 1.0 / 2
	// reserveTime is how long all gateways may use a limit without being notified of each other's
	// usage, at a few times the rate: until updates have passed two replicas or a partition is
	// detected.
	reserveTime = time.Second
)

func (b Bounds) reserve(l Limit) float64 {
	return reserveShare*b.Slack + l.Rate*reserveTime.Seconds()
}

// windowMax returns what may be used in a window, without the reserve.
func (b Bounds) windowMax(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overshoot) + b.Slack - b.reserve(l)
}

// leakRate returns how much usage leaks away per second. A caller that always asks for more then
// gets in each window what the limit allows in one, including the burst, if the bounds permit. At
// l.Rate it would get less, but nothing within the limit of the window may be refused.
func (b Bounds) leakRate(l Limit) float64 {
	w := b.Window.Seconds()
	if w <= 0 {
		return l.Rate
	}
	return max(min(l.Rate+l.Burst/w, (b.windowMax(l)-l.Burst)/w), l.Rate)
}

// capacity returns what a limit allows at once if nothing was used before.
func (b Bounds) capacity(l Limit) float64 {
	return max(b.windowMax(l)-b.leakRate(l)*b.Window.Seconds(), l.Burst)
}

// initialUsage returns the usage to assume as long as nothing is known: all but an eighth of the
// reserve.
func (b Bounds) initialUsage(l Limit) float64 { return max(b.capacity(l)-b.reserve(l)/8, 0) }

// Share is the share of the limits that a gateway may use.
type Share struct {
	// Connected is the share of all gateways that receive each other's usage, Disconnected the
	// share that the gateway may use by itself while it receives no updates.
	Connected, Disconnected float64
	// Updated is when the last update was received, including updates without changes.
	Updated time.Time
}

// Timeouts of updates to gateways.
const (
	// tightTimeout applies to organisations that have used more than half of their capacity: until
	// then, each gateway of a partitioned fleet uses what remains of the limit. It is three update
	// intervals of a replica.
	tightTimeout = 150 * time.Millisecond
	// looseTimeout applies to all other organisations. It allows for a lost packet, which is sent
	// again after 200 ms.
	looseTimeout = 500 * time.Millisecond
	// maxUpdateInterval is the longest time between two updates while no organisation has used more
	// than half of its capacity; otherwise each interval of the replica sends one.
	maxUpdateInterval = 150 * time.Millisecond
)

// SplitLimit returns the shares of a limit for a group of gateways that receive each other's usage,
// and for one gateway by itself, out of all gateways. The shares of all groups add up to the whole
// limit.
func SplitLimit(connected, all int) (connectedShare, disconnectedShare float64) {
	n := float64(max(all, connected, 1))
	return float64(connected) / n, 1 / n
}
