// Package overload decides how much work a gateway accepts when it gets more than its own link or processor
// can carry. The decisions are plain state: times are passed in, and nothing here does I/O.
package overload

import (
	"math"
	"slices"
	"time"
)

// Times of a delay estimate.
const (
	// delayWindow is the time over which the smallest excess counts: a queue that is never empty for as
	// long is not a burst.
	delayWindow = 120 * time.Millisecond
	// sampleTTL is how long a sample counts while no newer ones arrive.
	sampleTTL = time.Second
	// leastTTL is how long the shortest round trip of a group of peers counts.
	leastTTL = 30 * time.Second
	// maxSamples bounds the samples in a window.
	maxSamples = 64
)

// Delay estimates how long work waits in a gateway's own link and processor, in and out together. Its load:
// some hundred connections and answers a second, at up to 600 servers in 11 availability zones.
//
// The gateway shares its queues among all peers, so a round trip that is longer than usual shows them only
// if all others are too: the estimate is the smallest excess in a window. An exchange that takes a time
// proves that the delay is not longer, whatever the server did meanwhile.
type Delay struct {
	least map[string]*leastTrip
	// trips are the excesses of round trips without work at the peer, bounds those of other exchanges,
	// which may be due to the peer.
	trips, bounds []delaySample
	// late is the smallest lateness of the gateway's timer in the current and the previous window.
	late lateness
}

type delaySample struct {
	at     time.Time
	peer   string
	excess time.Duration
}

// leastTrip is the shortest round trip in the current and in the previous period of leastTTL.
type leastTrip struct {
	since             time.Time
	current, previous time.Duration
}

// least returns the shortest round trip.
func (l *leastTrip) least() time.Duration { return min(l.current, l.previous) }

// noteTrip records the round trip of a group of peers and returns the shortest of the group.
func (d *Delay) noteTrip(now time.Time, group string, took time.Duration) time.Duration {
	if d.least == nil {
		d.least = map[string]*leastTrip{}
	}
	l := d.least[group]
	switch {
	case l == nil:
		l = &leastTrip{since: now, current: took, previous: took}
		d.least[group] = l
	case now.Sub(l.since) >= leastTTL:
		l.since, l.previous, l.current = now, l.current, took
	default:
		l.current = min(l.current, took)
	}
	return l.least()
}

// NoteConnect records how long a connection to a peer took to open. Peers of one group, such as an
// availability zone, are equally far away.
func (d *Delay) NoteConnect(now time.Time, group, peer string, took time.Duration) {
	d.trips = addSample(d.trips, delaySample{now, peer, took - d.noteTrip(now, group, took)})
}

// NoteAnswer records how long a peer took to answer, including its own work.
func (d *Delay) NoteAnswer(now time.Time, group, peer string, took time.Duration) {
	trip := time.Duration(0)
	if l := d.least[group]; l != nil {
		trip = l.least()
	}
	d.bounds = addSample(d.bounds, delaySample{now, peer, max(took-trip, 0)})
}

// NoteTimeout records that no connection to a peer had opened after a time.
func (d *Delay) NoteTimeout(now time.Time, peer string, after time.Duration) {
	d.trips = addSample(d.trips, delaySample{now, peer, after})
}

// NoteTimer records how late a periodic timer of the gateway was handled.
func (d *Delay) NoteTimer(now time.Time, late time.Duration) { d.late.note(now, max(late, 0)) }

func addSample(list []delaySample, s delaySample) []delaySample {
	if len(list) >= maxSamples {
		list = append(list[:0], list[1:]...)
	}
	return append(list, s)
}

// Read returns the estimate: the smallest excess of the newest samples, which are those of delayWindow, or
// older round trips up to sampleTTL if the newer ones were to a single peer, which may be slow by itself.
func (d *Delay) Read(now time.Time) time.Duration {
	out, first, several := time.Duration(math.MaxInt64), "", false
	for _, s := range slices.Backward(d.trips) {
		age := now.Sub(s.at)
		if age > sampleTTL || age > delayWindow && several {
			break
		}
		if first == "" {
			first = s.peer
		}
		several = several || s.peer != first
		out = min(out, s.excess)
	}
	if !several {
		out = 0
	}
	for _, s := range slices.Backward(d.bounds) {
		if now.Sub(s.at) > delayWindow {
			break
		}
		out = min(out, s.excess)
	}
	return max(out, d.late.read(now))
}

// lateness is the smallest lateness of a timer in two consecutive windows.
type lateness struct {
	since             time.Time
	current, previous time.Duration
	full              bool
}

func (l *lateness) note(now time.Time, late time.Duration) {
	switch {
	case l.since.IsZero() || now.Sub(l.since) > sampleTTL:
		*l = lateness{since: now, current: late}
	case now.Sub(l.since) >= delayWindow:
		l.since, l.previous, l.current, l.full = now, l.current, late, true
	default:
		l.current = min(l.current, late)
	}
}

func (l *lateness) read(now time.Time) time.Duration {
	if !l.full || now.Sub(l.since) > sampleTTL {
		return 0
	}
	return min(l.current, l.previous)
}
