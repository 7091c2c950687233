package demand

import (
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/route"
)

// Callers send bursts of 1.7 to 2.4 times their usual load for 4 to 5 s. A decision about the
// capacity that they need has to follow within a second or two, and must not follow the random
// variation of single requests.

// Key identifies a class: a service and an urgency.
type Key struct {
	Service string
	Urgency route.Urgency
}

// Key returns the key of a class.
func (c Class) Key() Key {
	return Key{c.Service, route.Urgency{Organisation: c.Organisation, Route: c.Route}}
}

// class returns an empty class with the key.
func (k Key) class() Class {
	return Class{Service: k.Service, Organisation: k.Urgency.Organisation, Route: k.Urgency.Route}
}

const (
	// meterTime is the time over which arrivals are averaged.
	meterTime = 2 * time.Second
	// meterBuckets is the number of intervals that meterTime is divided into.
	meterBuckets = 8
	bucketTime   = meterTime / meterBuckets
	// perRate is the time to which Class.Rate refers, in seconds.
	perRate = 1000
)

// Meter measures the rate of arrivals of each class. The zero value is ready for use.
type Meter struct {
	start   time.Time
	classes map[Key]*[meterBuckets + 1]arrivals
}

// arrivals counts the arrivals and the complete answers of one interval, by the number of the
// interval, which begins at one.
type arrivals struct {
	number                               int64
	requests, tokens, promptSize, served int
}

// Add counts a request that arrives at a time, with the tokens of its prompt and those of the KV
// cache that it will have at its end.
func (m *Meter) Add(now time.Time, k Key, prompt, final int) {
	b := m.bucket(now, k)
	b.requests++
	b.tokens += final
	b.promptSize += prompt
}

// AddServed counts a request whose answer is complete.
func (m *Meter) AddServed(now time.Time, k Key) { m.bucket(now, k).served++ }

// bucket returns the counts of the interval of a time.
func (m *Meter) bucket(now time.Time, k Key) *arrivals {
	if m.classes == nil {
		m.start, m.classes = now, map[Key]*[meterBuckets + 1]arrivals{}
	}
	c := m.classes[k]
	if c == nil {
		c = new([meterBuckets + 1]arrivals)
		m.classes[k] = c
	}
	number := m.number(now)
	b := &c[number%int64(len(c))]
	if b.number != number {
		*b = arrivals{number: number}
	}
	return b
}

func (m *Meter) number(now time.Time) int64 { return 1 + int64(now.Sub(m.start)/bucketTime) }

// List returns the rates of the classes with arrivals in the last two seconds, ordered by key. It
// forgets the other classes.
func (m *Meter) List(now time.Time) []Class {
	if m.classes == nil {
		return nil
	}
	newest := m.number(now)
	// The newest interval has not ended.
	seconds := (meterTime + now.Sub(m.start)%bucketTime).Seconds()
	var out []Class
	for k, c := range m.classes {
		var sum arrivals
		for _, b := range c {
			if b.number > 0 && newest-b.number <= meterBuckets {
				sum.requests += b.requests
				sum.tokens += b.tokens
				sum.promptSize += b.promptSize
				sum.served += b.served
			}
		}
		if sum.requests == 0 {
			if sum.served == 0 {
				delete(m.classes, k)
			}
			continue // complete answers alone are no demand
		}
		class := k.class()
		class.Rate = int(float64(perRate*sum.requests) / seconds)
		class.Tokens = int(float64(sum.tokens) / seconds)
		class.PromptTokens = int(float64(sum.promptSize) / seconds)
		class.Served = int(float64(perRate*sum.served) / seconds)
		out = append(out, class)
	}
	sortClasses(out)
	return out
}

func sortClasses(list []Class) {
	slices.SortFunc(list, func(a, b Class) int { return a.compare(&b) })
}
