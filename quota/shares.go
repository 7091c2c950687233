package quota

import (
	"math"
	"time"
)

// FairShares tracks which organisations use more than their share of the capacity. While engines
// are full, requests beyond an organisation's share wait behind the others, so that an organisation
// that sends several times its usual load gets spare capacity only, not that of the others. Shares
// are proportional to limits: the limit is what the operator assigns to an organisation, and on an
// ordinary day all organisations use about the same fraction of it.
type FairShares struct {
	weights     map[string]float64
	totalWeight float64
	recent      map[string]*decayingSum
	// all is the recent usage of all organisations.
	all decayingSum
}

// decayingSum is a sum with exponential decay.
type decayingSum struct {
	sum float64
	at  time.Time
}

const (
	// decayTime is the time constant of recent usage. It covers several requests of a small
	// organisation, and is about the duration of a run, for which a request occupies its slot.
	decayTime = 4 * time.Second
	// excessFactor is how far above the mean usage an organisation must be: on days without a burst
	// of one organisation, they differ by less.
	excessFactor = 1.5
)

// NewFairShares returns fair shares without organisations.
func NewFairShares() *FairShares { return &FairShares{recent: map[string]*decayingSum{}} }

// SetLimits sets the limits that shares are proportional to.
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

// Add counts the usage of an organisation at any gateway.
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

// Exceeds reports whether an organisation uses more than its share. An organisation without a limit
// never does, since its usage isn't reported.
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
