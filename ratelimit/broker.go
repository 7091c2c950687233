package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/internal/mix"
)

// Times of a Broker.
const (
	// quiet is how long a broker issues nothing after its start: the tokens that another
	// process of its replica has issued just before must have ended, and those that were held
	// up on their way.
	quiet = TokenFor + 400*time.Millisecond
	// takeover is how long a replica must have been without a link before the others own its
	// parts. Long before, it has noticed that it is cut off and issues nothing.
	takeover = 3 * time.Second
	// askFor is how long the word of what a gateway or a replica wants counts.
	askFor = time.Second
	// accrue bounds what accrues while nobody asks, beside one token: some rounds of Issue.
	accrue = 100 * time.Millisecond
)

// ownerRate is the rate from which on a limit has one owner more: so few that what has accrued
// at all of them together is a small part of the limit.
const ownerRate = 2.0

// Demand is what a gateway, or those of a replica together, would send to a service.
type Demand struct {
	// Rate is the requests a second that came of late.
	Rate float64
	// Waiting are the requests that wait for a token, Priority is the rank of the most urgent
	// one; the lowest is first.
	Waiting  int
	Priority int
	// Got counts the tokens that came from the replica that is asked, since it is: those that
	// are on their way must not be issued once more.
	Got int
}

// Add returns the demand of two together.
func (d Demand) Add(o Demand) Demand {
	out := Demand{Rate: d.Rate + o.Rate, Waiting: d.Waiting + o.Waiting, Priority: d.Priority}
	if d.Waiting == 0 || o.Waiting > 0 && o.Priority < d.Priority {
		out.Priority = o.Priority
	}
	return out
}

// Asker is who tokens are issued to: a gateway that shares with this replica, or another
// replica, which hands them to its gateways.
type Asker struct {
	Name    string
	Replica bool
}

// Grant is tokens for requests to a server.
type Grant struct {
	To     Asker
	Server string
	Token
	Tokens int
	// For is how long they hold.
	For time.Duration
}

// Broker issues the tokens of one replica of control. Each limit is owned by some replicas in
// equal parts, by their names, so that nobody has to agree on it. It is not safe for concurrent
// use.
type Broker struct {
	self       string
	quietUntil time.Time
	// seen is when each replica was known to be there last, itself included; present are those
	// that count, in order.
	seen    map[string]time.Time
	present []string
	cut     bool
	limits  map[string]*account
	askers  map[Asker]*asker
	// got counts the tokens that each other replica has issued to this one, by service, and
	// asked how often they were asked.
	got   map[string]map[string]int
	asked int
}

// account is the limit of one server.
type account struct {
	service string
	rate    float64
	// level is what has accrued of this replica's part at a time, most what may.
	level, most float64
	at          time.Time
	// handed are tokens of other owners, for the gateways of this replica.
	handed batches
}

// asker is what is known of an asker.
type asker struct {
	demand map[string]Demand
	at     time.Time
	// out are the tokens that were issued to it and have not ended, by service, and issued
	// counts all of them; credit is how far it is behind the others.
	out      map[string]*batches
	issued   map[string]int
	issuedAt time.Time
	credit   map[string]float64
}

// NewBroker returns the broker of a replica that starts now.
func NewBroker(now time.Time, self string) *Broker {
	return &Broker{self: self, quietUntil: now.Add(quiet), seen: map[string]time.Time{}, limits: map[string]*account{}, askers: map[Asker]*asker{}, got: map[string]map[string]int{}}
}

// SetReplicas takes which replicas the group has and which of them are linked with this one, and
// whether it is cut off from most of them: it issues nothing then, since the others may own its
// parts.
func (b *Broker) SetReplicas(now time.Time, members, linked []string, cut bool) {
	b.cut = cut
	for _, m := range members {
		if _, known := b.seen[m]; !known || m == b.self || slices.Contains(linked, m) {
			b.seen[m] = now
		}
	}
	b.present = b.present[:0]
	for m, at := range b.seen {
		if now.Sub(at) >= takeover {
			delete(b.seen, m)
			continue
		}
		b.present = append(b.present, m)
	}
	slices.Sort(b.present)
}

// SetLimit takes that a server of a service takes so many requests a second.
func (b *Broker) SetLimit(now time.Time, server, service string, rate float64) {
	a := b.limits[server]
	if a == nil {
		a = &account{at: now}
		b.limits[server] = a
	}
	b.settle(now, server, a)
	a.service, a.rate = service, rate
}

// Drop takes that a server has no limit any more.
func (b *Broker) Drop(server string) { delete(b.limits, server) }

// Limits returns the number of servers that have a limit.
func (b *Broker) Limits() int { return len(b.limits) }

// Ask takes what an asker wants of all services.
func (b *Broker) Ask(now time.Time, from Asker, demand map[string]Demand) {
	a := b.askers[from]
	if a == nil {
		a = &asker{out: map[string]*batches{}, issued: map[string]int{}, credit: map[string]float64{}}
		b.askers[from] = a
	}
	a.demand, a.at = demand, now
	for service, d := range demand {
		// Those that have not come by now are lost, and what came before a restart is not known.
		if d.Got > a.issued[service] || now.Sub(a.issuedAt) >= TokenFor {
			a.issued[service] = d.Got
		}
	}
}

// lacks returns the requests of an asker that wait and for which no token is on its way.
func (a *asker) lacks(service string) int {
	d := a.demand[service]
	return d.Waiting - max(a.issued[service]-d.Got, 0)
}

// Leave forgets an asker.
func (b *Broker) Leave(from Asker) { delete(b.askers, from) }

// Demand returns what the gateways of this replica want together, by service with a limit; of
// the requests that wait those for which there is no token yet.
func (b *Broker) Demand(now time.Time) map[string]Demand {
	out := map[string]Demand{}
	for from, a := range b.askers {
		if from.Replica || now.Sub(a.at) >= askFor {
			continue
		}
		for service, d := range a.demand {
			if d.Waiting = max(a.lacks(service), 0); d.Rate > 0 || d.Waiting > 0 {
				out[service] = out[service].Add(d)
			}
		}
	}
	for _, l := range b.limits {
		if d, ok := out[l.service]; ok {
			d.Waiting = max(d.Waiting-l.handed.live(now), 0)
			out[l.service] = d
		}
	}
	return out
}

// Asks returns what the other replicas have to be asked for that own parts of limits, by replica.
// Each request that waits is told to one of them, another one each time, so that it does not get
// a token from several.
func (b *Broker) Asks(now time.Time) map[string]map[string]Demand {
	out := map[string]map[string]Demand{}
	demand := b.Demand(now)
	b.asked++
	for service, owners := range b.owners() {
		d, ok := demand[service]
		if !ok {
			continue
		}
		for i, o := range owners {
			if o == b.self {
				continue
			}
			one := d
			one.Waiting, one.Got = (d.Waiting+(i+b.asked)%len(owners))/len(owners), b.got[o][service]
			if out[o] == nil {
				out[o] = map[string]Demand{}
			}
			out[o][service] = one
		}
	}
	return out
}

// owners returns the replicas that own a part of some limit of each service, in order.
func (b *Broker) owners() map[string][]string {
	out := map[string][]string{}
	for server, l := range b.limits {
		for _, m := range b.present {
			if b.part(m, server, l.rate) > 0 && !slices.Contains(out[l.service], m) {
				out[l.service] = append(out[l.service], m)
			}
		}
	}
	for _, list := range out {
		slices.Sort(list)
	}
	return out
}

// Supply is what the servers of a service that name limits take together, and what waits for it.
type Supply struct {
	Rate    float64
	Waiting int
}

// Supply returns what is known of each service with a limit.
func (b *Broker) Supply(now time.Time) map[string]Supply {
	out := map[string]Supply{}
	for _, l := range b.limits {
		s := out[l.service]
		s.Rate += l.rate
		out[l.service] = s
	}
	for _, a := range b.askers {
		if now.Sub(a.at) >= askFor {
			continue
		}
		for service, d := range a.demand {
			if s, ok := out[service]; ok {
				s.Waiting += d.Waiting
				out[service] = s
			}
		}
	}
	return out
}

// Hand takes tokens that another replica has issued to this one, for its gateways.
func (b *Broker) Hand(now time.Time, server string, t Token, tokens int, d time.Duration) {
	a := b.limits[server]
	if a == nil {
		return
	}
	if b.got[t.Owner] == nil {
		b.got[t.Owner] = map[string]int{}
	}
	b.got[t.Owner][a.service] += tokens
	a.handed.live(now)
	a.handed = append(a.handed, batch{t, tokens, now.Add(min(d, TokenFor))})
}

// Back takes tokens that an asker gives back. Those of another replica go to it, unless
// somebody here has use for them.
func (b *Broker) Back(now time.Time, from Asker, t Back) {
	l := b.limits[t.Server]
	if l == nil || t.Tokens <= 0 {
		return
	}
	tokens := t.Tokens
	if a := b.askers[from]; a != nil {
		if out := a.out[l.service]; out != nil {
			tokens = min(tokens, out.live(now))
			for range tokens {
				out.take(now)
			}
		}
	}
	if t.Owner == b.self {
		l.level = min(l.level+float64(tokens), l.most)
		return
	}
	l.handed = append(l.handed, batch{Token{Owner: t.Owner}, tokens, now.Add(min(t.For, TokenFor))})
}

// part returns the requests a second of a limit that a replica owns.
func (b *Broker) part(replica, server string, rate float64) float64 {
	owners := min(max(int(rate/ownerRate), 1), len(b.present))
	key := mix.Name(server)
	rank, own := 0, mix.Pair(mix.Name(replica), key)
	for _, m := range b.present {
		if m != replica && mix.Pair(mix.Name(m), key) < own {
			rank++
		}
	}
	if rank >= owners || !slices.Contains(b.present, replica) {
		return 0
	}
	return rate / float64(owners)
}

// settle counts what has accrued of this replica's part of a limit.
func (b *Broker) settle(now time.Time, server string, a *account) {
	part := b.part(b.self, server, a.rate)
	if b.cut || now.Before(b.quietUntil) {
		part = 0
	}
	a.most = 1 + part*accrue.Seconds()
	a.level = min(a.level+part*now.Sub(a.at).Seconds(), a.most)
	if part == 0 {
		a.level = 0
	}
	a.at = now
}

// Issue returns the tokens that are to be told now, and those that other replicas get back. May
// tells whether a gateway of this replica works with a server.
func (b *Broker) Issue(now time.Time, may func(gateway, server string) bool) ([]Grant, []Back) {
	var out []Grant
	var back []Back
	for _, server := range sortedKeys(b.limits) {
		l := b.limits[server]
		b.settle(now, server, l)
		c := choice{service: l.service, may: func(gateway string) bool { return may(gateway, server) }}
		for l.handed.live(now) > 0 {
			t, _ := l.handed.take(now)
			c.spare = t.Spare
			if to, ok := b.choose(now, c); ok {
				out = b.issue(out, to, l.service, server, t, now)
			} else if !t.Spare {
				back = append(back, Back{Owner: t.Owner, Server: server, Tokens: 1, For: t.until.Sub(now)})
			}
		}
		c.replicas = true
		for l.level >= 1 {
			c.spare = false
			to, ok := b.choose(now, c)
			if !ok && l.level >= l.most {
				c.spare = true
				to, ok = b.choose(now, c)
			}
			if !ok {
				break
			}
			l.level--
			out = b.issue(out, to, l.service, server, batch{Token{b.self, c.spare}, 1, now.Add(TokenFor)}, now)
		}
	}
	return out, back
}

// issue notes a token and adds it to what is to be told.
func (b *Broker) issue(out []Grant, to Asker, service, server string, t batch, now time.Time) []Grant {
	a := b.askers[to]
	if a.out[service] == nil {
		a.out[service] = &batches{}
	}
	*a.out[service] = append(*a.out[service], t)
	a.issued[service]++
	a.issuedAt = now
	next := Grant{To: to, Server: server, Token: t.Token, Tokens: 1, For: t.until.Sub(now)}
	if n := len(out); n > 0 {
		last := out[n-1]
		if last.Tokens = 1; last == next {
			out[n-1].Tokens++
			return out
		}
	}
	return append(out, next)
}

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
	to     Asker
	a      *asker
	waits  bool
	rank   int
	weight float64
}

// choose returns who gets the next token of a limit: who has requests that wait, the most urgent
// first, and of these and of the others each in proportion to its requests. False if nobody could
// use it.
func (b *Broker) choose(now time.Time, how choice) (Asker, bool) {
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
			useful = int(math.Ceil(d.Rate * TokenFor.Seconds()))
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
		return Asker{}, false
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

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
