package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// choice is what decides who gets the next token for a server of a service.
type criteria struct {
	service string
	// may tells whether a gateway of this replica works with the server, replicas that other
	// replicas get tokens too.
	serves     func(gateway string) bool
	toReplicas bool
	// spare tells that the token would be lost, so that it goes to somebody who may use it.
	// Others are kept for requests that wait or are sure to come.
	spare bool
}

// candidate is an asker that could use one more token.
type candidate struct {
	to      Requester
	r       *requester
	waiting bool
	rank    int
	weight  float64
}

// choose returns who gets the next token of a limit: who has requests that wait, the most urgent
// first, and of these and of the others each in proportion to its requests. False if nobody could
// use it.
func (b *Broker) choose(now time.Time, crit criteria) (Requester, bool) {
	var list []candidate
	for to, r := range b.requesters {
		d, ok := r.demand[crit.service]
		if !ok || now.Sub(r.at) >= demandTTL || to.Replica && !crit.toReplicas || !to.Replica && !crit.serves(to.Name) {
			continue
		}
		out := 0
		if held := r.outstanding[crit.service]; held != nil {
			out = held.live(now)
		}
		useful := expectedRequests(d.Rate)
		if crit.spare {
			useful = int(math.Ceil(d.Rate * TokenTTL.Seconds()))
		}
		c := candidate{to: to, r: r, waiting: r.unmet(crit.service) > 0, weight: d.Rate + float64(d.Waiting)}
		if !c.waiting && out >= useful {
			continue
		}
		if c.waiting {
			c.rank = d.Priority
		}
		list = append(list, c)
	}
	if len(list) == 0 {
		return Requester{}, false
	}
	best := slices.MinFunc(list, func(x, y candidate) int {
		if x.waiting != y.waiting {
			return map[bool]int{true: -1, false: 1}[x.waiting]
		}
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(y.nextCredit(crit.service), x.nextCredit(crit.service)), cmp.Compare(x.to.Name, y.to.Name))
	})
	updateCredits(list, best, crit.service)
	return best.to, true
}

// next is the credit that a candidate would have if it got nothing.
func (c *candidate) nextCredit(service string) float64 { return c.r.credit[service] + c.weight }

// share adds to the credit of all candidates in proportion to their weight, and takes the sum off
// that of the one that was chosen.
func updateCredits(list []candidate, chosen candidate, service string) {
	sum := 0.0
	for _, c := range list {
		c.r.credit[service] += c.weight
		sum += c.weight
	}
	chosen.r.credit[service] -= sum
}
