package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
)

// In a burst of 1.7 to 2.4 times the usual load for 4 to 5 s, requests of all urgencies fill the
// memory of the engines, and a run takes 3.4 s. An urgent request that arrives then finds no
// capacity for as long as less urgent ones take each slot that becomes free. The order of the
// queue doesn't help it, since less urgent requests that arrived earlier have been placed already.
// So less urgent requests leave as much memory free as the more urgent ones are expected to need
// within the time in which capacity is known to become free. After that time a run has ended, and
// its capacity goes to the most urgent request that waits. A fixed reserve would stay unused
// while no urgent request arrives, at the expense of the least urgent ones.

const (
	// viewAge is the age of what a gateway knows about the others: 40 ms between two updates of
	// a gateway, a tick of its replica, and 50 ms between two updates to gateways.
	viewAge = 100 * time.Millisecond
	// headroomDeviations is the number of standard deviations by which the number of requests
	// for which memory is left free exceeds the expected one.
	headroomDeviations = 2
	// maxHeadroom bounds the share of the memory that is left free, so that less urgent
	// requests don't starve in a small fleet.
	maxHeadroom = 0.15
)

// Headroom is the share of the memory of decode engines that requests leave free for more
// urgent ones, by urgency, most urgent first. An empty one leaves nothing free.
type Headroom []HeadroomStep

// HeadroomStep is the share that all requests leave free which are less urgent than Urgency.
type HeadroomStep struct {
	Urgency route.Urgency
	Share   float64
}

// NewHeadroom returns the headroom for the requests that are expected within a time, by the rates
// of recent ones. memory is the memory of all decode engines in tokens. list may have several
// elements of one urgency.
func NewHeadroom(list []demand.Class, within time.Duration, memory float64) Headroom {
	if memory <= 0 {
		return nil
	}
	list = slices.DeleteFunc(slices.Clone(list), func(c demand.Class) bool { return c.Rate <= 0 })
	slices.SortFunc(list, func(a, b demand.Class) int { return urgencyOf(a).Compare(urgencyOf(b)) })
	var out Headroom
	rate, tokens := 0.0, 0.0
	for i, c := range list {
		rate += float64(c.Rate) / 1000
		tokens += float64(c.Tokens)
		if i+1 < len(list) && urgencyOf(list[i+1]) == urgencyOf(c) {
			continue
		}
		count := rate * within.Seconds()
		count += headroomDeviations * math.Sqrt(count) // arrivals are about Poisson distributed
		out = append(out, HeadroomStep{urgencyOf(c), min(count*tokens/rate/memory, maxHeadroom)})
	}
	return out
}

func urgencyOf(c demand.Class) route.Urgency {
	return route.Urgency{Organisation: c.Organisation, Route: c.Route}
}

// For returns the share that a request leaves free.
func (h Headroom) For(u route.Urgency) float64 {
	for _, step := range slices.Backward(h) {
		if step.Urgency.Compare(u) < 0 {
			return step.Share
		}
	}
	return 0
}

// UpdateHeadroom sets the headroom of a service by this gateway's own demand, that of the other
// gateways and the recent durations of runs. If the demand of the others is not known, as when
// control can't be reached, they count as having the same demand as this one.
func (f *Fleet) UpdateHeadroom(now time.Time, service string, e *route.Engine, own []demand.Class, r RunTimes) Headroom {
	ofService := func(list []demand.Class) []demand.Class {
		return slices.DeleteFunc(slices.Clone(list), func(c demand.Class) bool { return c.Service != service })
	}
	all := ofService(own)
	if len(f.Others.Demand) > 0 {
		all = append(all, ofService(f.Others.Demand)...)
	} else {
		for i := range all {
			all[i].Rate *= f.Others.Gateways
			all[i].Tokens *= f.Others.Gateways
		}
	}
	within := viewAge
	if rate := f.EndRate(now, service, r); rate > 0 {
		within += time.Duration(float64(time.Second) / rate)
	}
	engines := f.groupSize(service, registry.Decode)
	h := NewHeadroom(all, within, float64(engines)*float64(e.KVTokens))
	if len(h) <= 1 {
		delete(f.headroom, service) // without two urgencies no request has a more urgent one
		return nil
	}
	f.headroom[service] = h
	return h
}

// withHeadroom returns a new request with the share that it leaves free. A stream that continues
// leaves nothing free, since its caller has received a part of the answer.
func (f *Fleet) withHeadroom(w Work) Work {
	if w.Generated == 0 && !f.restricted(w) {
		w.headroom = f.headroom[w.Service].For(w.Urgency)
	}
	return w
}
