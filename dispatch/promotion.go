package dispatch

import (
	"math"
	"time"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/route"
)

// When the most urgent requests alone exceed the capacity for many seconds, as after the loss of
// engines, the order by urgency never reaches the less urgent ones: they are refused for lack of
// memory, since urgent ones take each slot that becomes free, for the headroom that they leave, or
// because others come before them. So that no class of requests starves, some requests of a class
// that is hardly served are promoted to the urgency of the most urgent class, and then compete with
// its requests as equals: in the queue, for headroom and memory, and at engines that preempt runs.
// A class that is served half as often as all requests isn't changed. Nothing is set aside: a
// promoted request takes capacity only if it is there to use it.

const (
	// minServedRatio is the bound that promotions hold: a class is served at least this fraction
	// as often as all requests to its service.
	minServedRatio = 0.25
	// promotionStart is the ratio below which requests are promoted. Requests promoted with the
	// probability p are served p times as often as the most urgent ones, so a rise of p from zero
	// at promotionStart to maxPromotion at minServedRatio settles at a third.
	promotionStart = 2 * minServedRatio
	maxPromotion   = 0.5
	// servedTime is the time over which served requests are averaged: a few times the duration of
	// a run, so that bursts of some seconds promote nothing.
	servedTime = 8 * time.Second
	// minServedCount is the number of requests of a class in servedTime below which too little is
	// known about it.
	minServedCount = 4
)

// promotion holds how often the requests of the classes of a service are served at all gateways.
type promotion struct {
	updated time.Time
	classes map[route.Urgency]*servedClass
	// highest is the urgency of the most urgent class.
	highest route.Urgency
}

// servedClass holds averages for a class over servedTime, in requests per second.
type servedClass struct {
	requests, served float64
	// probability is the probability with which a request of the class is promoted.
	probability float64
}

// UpdatePromotions sets which requests to a service are promoted, by the demand of this gateway and
// that of the others. Gateways whose demand isn't known are left out.
func (f *Fleet) UpdatePromotions(now time.Time, service string, own []demand.Class) {
	p := f.promotions[service]
	if p == nil {
		p = &promotion{updated: now, classes: map[route.Urgency]*servedClass{}}
		f.promotions[service] = p
	}
	p.update(now, demand.Add(own, f.Others.Demand), service)
}

// update adds the current rates of all gateways to the averages.
func (p *promotion) update(now time.Time, list []demand.Class, service string) {
	weight := 1 - math.Exp(-float64(now.Sub(p.updated))/float64(servedTime))
	p.updated = now
	seen := map[route.Urgency]bool{}
	for i := range list {
		c := &list[i]
		if c.Service != service {
			continue
		}
		u := urgencyOf(*c)
		seen[u] = true
		s := p.classes[u]
		if s == nil {
			s = &servedClass{}
			p.classes[u] = s
		}
		s.requests += weight * (float64(c.Rate)/1000 - s.requests)
		s.served += weight * (float64(c.Served)/1000 - s.served)
	}
	for u, s := range p.classes {
		if seen[u] {
			continue
		}
		s.requests, s.served = (1-weight)*s.requests, (1-weight)*s.served
		if s.requests*servedTime.Seconds() < 1 {
			delete(p.classes, u)
		}
	}
	p.setProbabilities()
}

func (p *promotion) setProbabilities() {
	requests, served := 0.0, 0.0
	first := true
	for u, s := range p.classes {
		requests, served = requests+s.requests, served+s.served
		if first || u.Compare(p.highest) < 0 {
			p.highest, first = u, false
		}
	}
	for u, s := range p.classes {
		s.probability = 0
		if u == p.highest || served == 0 || s.requests*servedTime.Seconds() < minServedCount {
			continue
		}
		ratio := s.served / s.requests / (served / requests)
		rise := (promotionStart - ratio) / (promotionStart - minServedRatio)
		s.probability = maxPromotion * min(max(rise, 0), 1)
	}
}

// Promote returns a new request with the urgency by which it is placed: that of the most urgent
// class if it is promoted, by a random number in [0, 1). It reports whether it is.
func (f *Fleet) Promote(w Work, random float64) (Work, bool) {
	p := f.promotions[w.Service]
	if p == nil || w.Urgency == p.highest {
		return w, false
	}
	if s := p.classes[w.Urgency]; s == nil || random >= s.probability {
		return w, false
	}
	w.Urgency = p.highest
	return w, true
}
