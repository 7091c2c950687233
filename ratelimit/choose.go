package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// choice is what decides who gets the next token for a server of a service.
type choice struct {
	service string
	// may tells whether a gateway of this replica works with the server, replicas that other
	// replicas get tokens too.
	may      func(gateway string) bool
	replicas bool
	// spare tells that the token would be lost, so that it goes to somebody who may use it.
	// Others are kept for requests that wait or are sure to come.
	spare bool
}

// candidate is an asker that could use one more token.
type candidate struct {
	to     Requester
	a      *asker
	waits  bool
	rank   int
	weight float64
}

// choose returns who gets the next token of a limit: who has requests that wait, the most urgent
// first, and of these and of the others each in proportion to its requests. False if nobody could
// use it.
func (b *Broker) choose(now time.Time, how choice) (Requester, bool) {
	var list []candidate
	for to, a := range b.askers {
		d, ok := a.demand[how.service]
		if !ok || now.Sub(a.at) >= askFor || to.Replica && !how.replicas || !to.Replica && !how.may(to.Name) {
			continue
		}
		out := 0
		if held := a.out[how.service]; held != nil {
			out = held.live(now)
		}
		useful := expected(d.Rate)
		if how.spare {
			useful = int(math.Ceil(d.Rate * TokenTTL.Seconds()))
		}
		c := candidate{to: to, a: a, waits: a.lacks(how.service) > 0, weight: d.Rate + float64(d.Waiting)}
		if !c.waits && out >= useful {
			continue
		}
		if c.waits {
			c.rank = d.Priority
		}
		list = append(list, c)
	}
	if len(list) == 0 {
		return Requester{}, false
	}
	best := slices.MinFunc(list, func(x, y candidate) int {
		if x.waits != y.waits {
			return map[bool]int{true: -1, false: 1}[x.waits]
		}
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(y.next(how.service), x.next(how.service)), cmp.Compare(x.to.Name, y.to.Name))
	})
	share(list, best, how.service)
	return best.to, true
}

// next is the credit that a candidate would have if it got nothing.
func (c *candidate) next(service string) float64 { return c.a.credit[service] + c.weight }

// share adds to the credit of all candidates in proportion to their weight, and takes the sum off
// that of the one that was chosen.
func share(list []candidate, chosen candidate, service string) {
	sum := 0.0
	for _, c := range list {
		c.a.credit[service] += c.weight
		sum += c.weight
	}
	chosen.a.credit[service] -= sum
}
