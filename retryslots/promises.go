package retryslots

import (
	"time"

	"github.com/ledgepin/ledgepin/demand"
)

const (
	// tick is the resolution at which promises are kept. A promise expires within a tick of its
	// time, when its caller has retried or given up.
	tick = 50 * time.Millisecond
	// pastTime is the time for which promises that are due count as the cause of arrivals: the
	// time over which arrivals are averaged.
	pastTime = 2 * time.Second
	ticks    = int((Latest+pastTime)/tick) + 2
)

// Promises holds the retry times that a gateway has told its callers. The zero value is ready
// for use.
type Promises struct {
	classes map[demand.Key]*[ticks]promised
}

// promised is the number of callers that were told to retry in one tick.
type promised struct {
	tick  int64
	count int
}

// Add records that a caller was told to retry after a time.
func (p *Promises) Add(now time.Time, k demand.Key, after time.Duration) {
	if after > Latest {
		return // a longer pause of the servers decides, not their capacity
	}
	if p.classes == nil {
		p.classes = map[demand.Key]*[ticks]promised{}
	}
	c := p.classes[k]
	if c == nil {
		c = new([ticks]promised)
		p.classes[k] = c
	}
	n := now.Add(after).UnixNano() / int64(tick)
	x := &c[n%int64(ticks)]
	if x.tick != n {
		*x = promised{tick: n}
	}
	x.count++
}

// Report returns the demand of the gateway with its promises: Returns has those that are due from
// now on, and the rates exclude the callers that were told to retry in the last two seconds. A
// caller may retry at another gateway, but over all gateways these callers are the same.
func (p *Promises) Report(now time.Time, list []demand.Class) []demand.Class {
	out := demand.Add(list, nil)
	current := now.UnixNano() / int64(tick)
	for k, c := range p.classes {
		var returns [Intervals + 1]int
		last, past := -1, 0
		for _, x := range c {
			ahead := x.tick - current
			switch {
			case x.count == 0 || ahead < -int64(pastTime/tick):
			case ahead < 0:
				past += x.count
			default:
				i := min(int(ahead)*int(tick)/int(Interval), Intervals-1)
				returns[i] += x.count
				last = max(last, i)
			}
		}
		if last < 0 && past == 0 {
			delete(p.classes, k)
			continue
		}
		out = report(out, k, returns[:last+1], float64(past)/pastTime.Seconds())
	}
	return out
}

// report adds the promises of one class to a list: callers by interval, and the rate at which
// callers have been due.
func report(list []demand.Class, k demand.Key, returns []int, due float64) []demand.Class {
	for i := range list {
		c := &list[i]
		if c.Key() != k || c.Rate == 0 {
			continue
		}
		const perRate = 1000 // the time to which Rate refers, in seconds
		kept := max(1-due*perRate/float64(c.Rate), 0)
		c.Rate, c.Tokens, c.PromptTokens = scale(c.Rate, kept), scale(c.Tokens, kept), scale(c.PromptTokens, kept)
	}
	if len(returns) == 0 {
		return list
	}
	return demand.Add(list, []demand.Class{{
		Service: k.Service, Organisation: k.Urgency.Organisation, Route: k.Urgency.Route, Returns: returns,
	}})
}

func scale(n int, by float64) int { return int(float64(n) * by) }

// NewState returns the expected use of a service's capacity by requests that are at least as
// urgent as k, with ends runs that end per second. own is the demand of this gateway, others that
// of the other ones. Without others, as when control can't be reached, each of the other gateways
// counts as having the demand of this one. trend is the change of the rates of all gateways.
func NewState(k demand.Key, ends float64, own, others []demand.Class, gateways int, trend *Trend) State {
	s := State{Ends: ends}
	own = notLessUrgent(own, k)
	if len(others) == 0 {
		s.add(k, own, float64(max(gateways, 1)))
		s.Unseen = float64(max(gateways, 1) - 1)
		return s
	}
	others = notLessUrgent(others, k)
	s.add(k, others, 1)
	// Promises of the others are on average as old as those that have not been reported yet will
	// be: if as many were made at all times, those that remain were made in twice the mean time
	// that remains to them.
	remaining, count := 0.0, 0.0
	for i, n := range s.Promised {
		count += n
		remaining += n * (float64(i) + 0.5) * Interval.Seconds()
	}
	if remaining > 0 {
		s.Unseen = count * viewAge.Seconds() / (2 * remaining / count)
	}
	s.add(k, own, 1)
	for _, c := range notLessUrgent(trend.after, k) {
		increase := trend.Increase(c.Key())
		s.Arrivals += increase
		if c.Key() != k {
			s.MoreUrgent += increase
		}
	}
	return s
}

func (s *State) add(k demand.Key, list []demand.Class, times float64) {
	for _, c := range list {
		s.Waiting += times * float64(c.Waiting)
		s.Arrivals += times * float64(c.Rate) / 1000
		if c.Key() != k {
			s.MoreUrgent += times * float64(c.Rate) / 1000
		}
		for i, n := range c.Returns {
			s.Promised[min(i, Intervals-1)] += times * float64(n)
		}
	}
}

func notLessUrgent(list []demand.Class, k demand.Key) []demand.Class {
	var out []demand.Class
	for _, c := range list {
		if c.Service == k.Service && c.Key().Urgency.Compare(k.Urgency) <= 0 {
			out = append(out, c)
		}
	}
	return out
}
