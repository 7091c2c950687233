package quota

import (
	"math"
	"time"
)

// FairShares tells which organisations use more than their share of what there is. While
// engines are full, what lies beyond an organisation's share waits behind the others, so
// that one that sends several times its usual takes room that is left and not theirs. A
// share is in proportion to the limit: that is what the operator says an organisation is
// to have, and all use about the same part of it on an ordinary day.
type FairShares struct {
	weights     map[string]float64
	totalWeight float64
	recent      map[string]*decayingSum
	// all is what all have used of late.
	all decayingSum
}

// recent is an average that forgets.
type decayingSum struct {
	sum float64
	at  time.Time
}

const (
	// shareTime is the time over which use counts: some requests of a small organisation,
	// and about the length of a run, which is what its room is taken for.
	decayTime = 4 * time.Second
	// beyondShare is how far above the mean use an organisation must be: those of a day
	// without a burst of one differ by less.
	excessFactor = 1.5
)

// NewFairShares returns shares of no organisation.
func NewFairShares() *FairShares { return &FairShares{recent: map[string]*decayingSum{}} }

// SetLimits takes the limits that shares are in proportion to.
func (f *FairShares) SetLimits(limits map[string]Limit) {
	f.weights, f.totalWeight = map[string]float64{}, 0
	for name, limit := range limits {
		if limit.Rate > 0 {
			f.weights[name] = limit.Rate
			f.totalWeight += limit.Rate
		}
	}
	for name := range f.recent {
		if f.weights[name] == 0 {
			delete(f.recent, name)
		}
	}
}

// Add counts what an organisation uses, wherever it does.
func (f *FairShares) Add(now time.Time, name string, size float64) {
	if f.weights[name] == 0 {
		return
	}
	r := f.recent[name]
	if r == nil {
		r = &decayingSum{}
		f.recent[name] = r
	}
	r.add(now, size)
	f.all.add(now, size)
}

// Exceeds tells whether an organisation uses more than its share. One without a limit
// never does, since what it uses is not told.
func (f *FairShares) Exceeds(now time.Time, name string) bool {
	r := f.recent[name]
	if r == nil {
		return false
	}
	return r.value(now)/f.weights[name] > excessFactor*f.all.value(now)/f.totalWeight
}

func (d *decayingSum) value(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/decayTime.Seconds())
}

func (d *decayingSum) add(now time.Time, size float64) {
	d.sum, d.at = max(d.value(now)+size, 0), now
}
