package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// criteria decides which requester gets the next token for a server of a service.
type criteria struct {
	service string
	// serves reports whether a gateway of this replica sends requests to the server; toReplicas
	// allows other replicas to get tokens too.
	serves     func(gateway string) bool
	toReplicas bool
	// spare is set for a token that would otherwise be lost, so that it may go to a requester that
	// only might use it. Other tokens are kept for requests that wait or are sure to arrive.
	spare bool
}

// candidate is a requester that could use one more token.
type candidate struct {
	to      Requester
	r       *requester
	waiting bool
	rank    int
	weight  float64
}

// choose returns the requester that gets the next token of a limit, and false if none could use it.
// Requesters with waiting requests come first, in order of priority; requesters of equal rank get
// tokens in proportion to their requests.
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

// nextCredit returns the credit that a candidate has in this round before the token is charged.
func (c *candidate) nextCredit(service string) float64 { return c.r.credit[service] + c.weight }

// updateCredits adds to the credit of each candidate in proportion to its weight, and subtracts the
// sum from that of the chosen one.
func updateCredits(list []candidate, chosen candidate, service string) {
	sum := 0.0
	for _, c := range list {
		c.r.credit[service] += c.weight
		sum += c.weight
	}
	chosen.r.credit[service] -= sum
}
