package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/dispatch"
)

// servedDemand returns the demand of a class of which a number of requests is served per second.
func servedDemand(priority int, rate, served float64) demand.Class {
	c := demandOf(priority, rate, 1000)
	c.Served = int(1000 * served)
	return c
}

// promotedShare returns the share of requests of a priority that are promoted.
func promotedShare(f *dispatch.Fleet, priority int) float64 {
	const draws = 1000
	promoted := 0
	for i := range draws {
		w, ok := f.Promote(dispatch.Work{Service: "llm", Urgency: urgency(priority)}, float64(i)/draws)
		if ok {
			promoted++
		}
		if ok != (w.Urgency == urgency(0)) && priority > 0 {
			return -1
		}
	}
	return float64(promoted) / draws
}

// TestPromotionsFollowWhatIsServed checks at which ratios requests are promoted: none while a class
// is served half as often as all, and half of them where a class would be served less than a quarter
// as often. It guards against a class that starves, and against promotions where none does.
func TestPromotionsFollowWhatIsServed(t *testing.T) {
	for _, c := range []struct {
		name     string
		own      []demand.Class
		others   []demand.Class
		priority int
		from, to float64
	}{
		{"nothing of the class is served", []demand.Class{servedDemand(0, 20, 10), servedDemand(2, 20, 0)}, nil, 2, 0.5, 0.5},
		{"a quarter", []demand.Class{servedDemand(0, 20, 14), servedDemand(2, 20, 2)}, nil, 2, 0.49, 0.5},
		{"between", []demand.Class{servedDemand(0, 20, 13), servedDemand(2, 20, 3)}, nil, 2, 0.2, 0.3},
		{"more than half", []demand.Class{servedDemand(0, 20, 12), servedDemand(2, 20, 4.1)}, nil, 2, 0, 0},
		{"the most urgent class", []demand.Class{servedDemand(0, 20, 1), servedDemand(2, 20, 10)}, nil, 0, 0, 0},
		{"nothing at all is served", []demand.Class{servedDemand(0, 20, 0), servedDemand(2, 20, 0)}, nil, 2, 0, 0},
		{"one class", []demand.Class{servedDemand(2, 20, 1)}, nil, 2, 0, 0},
		{"too few requests", []demand.Class{servedDemand(0, 20, 10), servedDemand(2, 0.2, 0)}, nil, 2, 0, 0},
		{"few requests", []demand.Class{servedDemand(0, 20, 10), servedDemand(2, 1, 0)}, nil, 2, 0.5, 0.5},
		{"served at other gateways", []demand.Class{servedDemand(0, 1, 1), servedDemand(2, 1, 0)}, []demand.Class{servedDemand(0, 20, 20), servedDemand(2, 20, 20)}, 2, 0, 0},
		{"starves at other gateways", []demand.Class{servedDemand(0, 1, 1), servedDemand(2, 1, 1)}, []demand.Class{servedDemand(0, 20, 20), servedDemand(2, 20, 0)}, 2, 0.5, 0.5},
	} {
		f := fleet(1, 1)
		f.SetOthers(now, dispatch.OtherGateways{Gateways: 2, Known: 2, Demand: c.others})
		for at := time.Duration(0); at < time.Minute; at += 40 * time.Millisecond {
			f.UpdatePromotions(now.Add(at), "llm", c.own)
		}
		got := promotedShare(f, c.priority)
		assert.Assert(t, got >= c.from && got <= c.to, "%s: %.3f", c.name, got)
	}
}

// TestPromotionsEndWithOverload checks that a class that is served again is no longer promoted, and
// that a burst of some seconds promotes little.
func TestPromotionsEndWithOverload(t *testing.T) {
	f := fleet(1, 1)
	calm := []demand.Class{servedDemand(0, 10, 10), servedDemand(2, 10, 10)}
	overload := []demand.Class{servedDemand(0, 40, 20), servedDemand(2, 10, 0)}
	at := now
	play := func(list []demand.Class, d time.Duration) float64 {
		for end := at.Add(d); at.Before(end); at = at.Add(40 * time.Millisecond) {
			f.UpdatePromotions(at, "llm", list)
		}
		return promotedShare(f, 2)
	}
	assert.Equal(t, play(calm, 20*time.Second), 0.0)
	assert.Equal(t, play(overload, 4*time.Second), 0.0)
	assert.Assert(t, play(overload, 16*time.Second) > 0.3)
	assert.Equal(t, play(calm, 20*time.Second), 0.0)
	assert.Equal(t, play(nil, time.Minute), 0.0)
}
