package ratelimit

import (
	"maps"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/internal/mix"
)

// Times of a Broker.
const (
	// quiet is how long a broker issues nothing after its start: the tokens that another
	// process of its replica has issued just before must have ended, and those that were held
	// up on their way.
	startupDelay = TokenTTL + 400*time.Millisecond
	// takeover is how long a replica must have been without a link before the others own its
	// parts. Long before, it has noticed that it is cut off and issues nothing.
	takeoverDelay = 3 * time.Second
	// accrue bounds what accrues while nobody asks, beside one token: some rounds of Issue.
	accrualWindow = 100 * time.Millisecond
)

// ownerRate is the rate from which on a limit has one owner more: so few that what has accrued
// at all of them together is a small part of the limit.
const ratePerOwner = 2.0

// Grant is tokens for requests to a server.
type Grant struct {
	To     Requester
	Server string
	Token
	Tokens int
	// TTL is how long they hold.
	TTL time.Duration
}

// Broker issues the tokens of one replica of control. Each limit is owned by some replicas in
// equal parts, by their names, so that nobody has to agree on it. It is not safe for concurrent
// use.
type Broker struct {
	self       string
	quietUntil time.Time
	// seen is when each replica was known to be there last, itself included; present are those
	// that count, in order.
	seen        map[string]time.Time
	active      []string
	partitioned bool
	limits      map[string]*account
	requesters  map[Requester]*requester
	// got counts the tokens that each other replica has issued to this one, by service, and
	// asked how often they were asked.
	received map[string]map[string]int
	rounds   int
}

// account is the limit of one server.
type account struct {
	service string
	rate    float64
	// level is what has accrued of this replica's part at a time, most what may.
	level, maxLevel float64
	levelAt         time.Time
	// handed are tokens of other owners, for the gateways of this replica.
	fromPeers batches
}

// NewBroker returns the broker of a replica that starts now.
func NewBroker(now time.Time, self string) *Broker {
	return &Broker{self: self, quietUntil: now.Add(startupDelay), seen: map[string]time.Time{}, limits: map[string]*account{}, requesters: map[Requester]*requester{}, received: map[string]map[string]int{}}
}

// SetReplicas takes which replicas the group has and which of them are linked with this one, and
// whether it is cut off from most of them: it issues nothing then, since the others may own its
// parts.
func (b *Broker) SetReplicas(now time.Time, members, linked []string, partitioned bool) {
	b.partitioned = partitioned
	for _, m := range members {
		if _, known := b.seen[m]; !known || m == b.self || slices.Contains(linked, m) {
			b.seen[m] = now
		}
	}
	b.active = b.active[:0]
	for m, at := range b.seen {
		if now.Sub(at) >= takeoverDelay {
			delete(b.seen, m)
			continue
		}
		b.active = append(b.active, m)
	}
	slices.Sort(b.active)
}

// SetLimit takes that a server of a service takes so many requests a second.
func (b *Broker) SetLimit(now time.Time, server, service string, rate float64) {
	a := b.limits[server]
	if a == nil {
		a = &account{levelAt: now}
		b.limits[server] = a
	}
	b.refill(now, server, a)
	a.service, a.rate = service, rate
}

// RemoveLimit takes that a server has no limit any more.
func (b *Broker) RemoveLimit(server string) { delete(b.limits, server) }

// AddTokens takes tokens that another replica has issued to this one, for its gateways.
func (b *Broker) AddTokens(now time.Time, server string, t Token, tokens int, d time.Duration) {
	a := b.limits[server]
	if a == nil {
		return
	}
	if b.received[t.Owner] == nil {
		b.received[t.Owner] = map[string]int{}
	}
	b.received[t.Owner][a.service] += tokens
	a.fromPeers.live(now)
	a.fromPeers.add(batch{t, tokens, now.Add(min(d, TokenTTL))})
}

// Release takes tokens that an asker gives back. Those of another replica go to it, unless
// somebody here has use for them.
func (b *Broker) Release(now time.Time, from Requester, rel Release) {
	l := b.limits[rel.Server]
	if l == nil || rel.Tokens <= 0 {
		return
	}
	tokens := rel.Tokens
	if r := b.requesters[from]; r != nil {
		if out := r.outstanding[l.service]; out != nil {
			tokens = min(tokens, out.live(now))
			for range tokens {
				out.take(now)
			}
		}
	}
	if rel.Owner == b.self {
		l.level = min(l.level+float64(tokens), l.maxLevel)
		return
	}
	l.fromPeers.add(batch{Token{Owner: rel.Owner}, tokens, now.Add(min(rel.TTL, TokenTTL))})
}

// part returns the requests a second of a limit that a replica owns.
func (b *Broker) ownedRate(replica, server string, rate float64) float64 {
	owners := min(max(int(rate/ratePerOwner), 1), len(b.active))
	key := mix.Name(server)
	rank, ownHash := 0, mix.Pair(mix.Name(replica), key)
	for _, m := range b.active {
		if m != replica && mix.Pair(mix.Name(m), key) < ownHash {
			rank++
		}
	}
	if rank >= owners || !slices.Contains(b.active, replica) {
		return 0
	}
	return rate / float64(owners)
}

// settle counts what has accrued of this replica's part of a limit.
func (b *Broker) refill(now time.Time, server string, a *account) {
	rate := b.ownedRate(b.self, server, a.rate)
	if b.partitioned || now.Before(b.quietUntil) {
		rate = 0
	}
	a.maxLevel = 1 + rate*accrualWindow.Seconds()
	a.level = min(a.level+rate*now.Sub(a.levelAt).Seconds(), a.maxLevel)
	if rate == 0 {
		a.level = 0
	}
	a.levelAt = now
}

// Issue returns the tokens that are to be told now, and those that other replicas get back. May
// tells whether a gateway of this replica works with a server.
func (b *Broker) Issue(now time.Time, serves func(gateway, server string) bool) ([]Grant, []Release) {
	var out []Grant
	var releases []Release
	for _, server := range slices.Sorted(maps.Keys(b.limits)) {
		l := b.limits[server]
		b.refill(now, server, l)
		c := criteria{service: l.service, serves: func(gateway string) bool { return serves(gateway, server) }}
		for l.fromPeers.live(now) > 0 {
			t, _ := l.fromPeers.take(now)
			c.spare = t.Spare
			if to, ok := b.choose(now, c); ok {
				out = b.issue(out, to, l.service, server, t, now)
			} else if !t.Spare {
				releases = append(releases, Release{Owner: t.Owner, Server: server, Tokens: 1, TTL: t.expiresAt.Sub(now)})
			}
		}
		c.toReplicas = true
		for l.level >= 1 {
			c.spare = false
			to, ok := b.choose(now, c)
			if !ok && l.level >= l.maxLevel {
				c.spare = true
				to, ok = b.choose(now, c)
			}
			if !ok {
				break
			}
			l.level--
			out = b.issue(out, to, l.service, server, batch{Token{b.self, c.spare}, 1, now.Add(TokenTTL)}, now)
		}
	}
	return out, releases
}

// issue notes a token and adds it to what is to be told.
func (b *Broker) issue(out []Grant, to Requester, service, server string, t batch, now time.Time) []Grant {
	r := b.requesters[to]
	if r.outstanding[service] == nil {
		r.outstanding[service] = &batches{}
	}
	r.outstanding[service].add(t)
	r.issued[service]++
	r.issuedAt = now
	next := Grant{To: to, Server: server, Token: t.Token, Tokens: 1, TTL: t.expiresAt.Sub(now)}
	if n := len(out); n > 0 {
		last := out[n-1]
		if last.Tokens = 1; last == next {
			out[n-1].Tokens++
			return out
		}
	}
	return append(out, next)
}
