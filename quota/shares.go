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
	weights map[string]float64
	weight  float64
	recent  map[string]*recent
	// all is what all have used of late.
	all recent
}

// recent is an average that forgets.
type recent struct {
	sum float64
	at  time.Time
}

const (
	// shareTime is the time over which use counts: some requests of a small organisation,
	// and about the length of a run, which is what its room is taken for.
	shareTime = 4 * time.Second
	// beyondShare is how far above the mean use an organisation must be: those of a day
	// without a burst of one differ by less.
	beyondShare = 1.5
)

// NewFairShares returns shares of no organisation.
func NewFairShares() *FairShares { return &FairShares{recent: map[string]*recent{}} }

// SetLimits takes the limits that shares are in proportion to.
func (s *FairShares) SetLimits(limits map[string]Limit) {
	s.weights, s.weight = map[string]float64{}, 0
	for name, limit := range limits {
		if limit.Rate > 0 {
			s.weights[name] = limit.Rate
			s.weight += limit.Rate
		}
	}
	for name := range s.recent {
		if s.weights[name] == 0 {
			delete(s.recent, name)
		}
	}
}

// Add counts what an organisation uses, wherever it does.
func (s *FairShares) Add(now time.Time, name string, size float64) {
	if s.weights[name] == 0 {
		return
	}
	r := s.recent[name]
	if r == nil {
		r = &recent{}
		s.recent[name] = r
	}
	r.add(now, size)
	s.all.add(now, size)
}

// Exceeds tells whether an organisation uses more than its share. One without a limit
// never does, since what it uses is not told.
func (s *FairShares) Exceeds(now time.Time, name string) bool {
	r := s.recent[name]
	if r == nil {
		return false
	}
	return r.value(now)/s.weights[name] > beyondShare*s.all.value(now)/s.weight
}

func (r *recent) value(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-now.Sub(r.at).Seconds()/shareTime.Seconds())
}

func (r *recent) add(now time.Time, size float64) {
	r.sum, r.at = max(r.value(now)+size, 0), now
}
