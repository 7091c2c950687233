package ratelimit

import (
	"maps"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/internal/stablehash"
)

// Durations of a Broker.
const (
	// startupDelay is how long a new broker issues no tokens: those that an earlier process of the
	// same replica issued just before must have expired, including any that were delayed on their
	// way.
	startupDelay = TokenTTL + 400*time.Millisecond
	// takeoverDelay is how long a replica must have been disconnected before the others own its
	// shares of the limits. The replica itself detects the partition long before that and stops
	// issuing.
	takeoverDelay = 3 * time.Second
	// accrualWindow bounds what accrues without demand, in addition to one token: a few rounds of
	// Issue.
	accrualWindow = 100 * time.Millisecond
)

// ratePerOwner is the rate for which a limit gets one more owner. It keeps the number of owners so
// low that the accrued tokens of all of them together are a small share of the limit.
const ratePerOwner = 2.0

// Grant holds tokens for requests to one server.
type Grant struct {
	To     Requester
	Server string
	Token
	Tokens int
	// TTL is how long the tokens are valid.
	TTL time.Duration
}

// Broker issues the tokens of one replica of control. Each limit is owned in equal shares by some
// of the replicas, chosen by a hash of their names, so that the replicas need no agreement on it. A
// Broker isn't safe for concurrent use.
type Broker struct {
	self       string
	quietUntil time.Time
	// seen is when each replica, including this one, was last connected; active lists the replicas
	// that count as owners, sorted by name.
	seen        map[string]time.Time
	active      []string
	partitioned bool
	limits      map[string]*account
	requesters  map[Requester]*requester
	// received counts the tokens that each other replica has issued to this one, by service. rounds
	// counts the calls of PeerDemand.
	received map[string]map[string]int
	rounds   int
}

// account is the limit of one server.
type account struct {
	service string
	rate    float64
	// level is what has accrued of this replica's share up to levelAt; maxLevel is its bound.
	level, maxLevel float64
	levelAt         time.Time
	// fromPeers holds tokens issued by other owners for the gateways of this replica.
	fromPeers batches
}

// NewBroker returns the broker of a replica that starts at now.
func NewBroker(now time.Time, self string) *Broker {
	return &Broker{self: self, quietUntil: now.Add(startupDelay), seen: map[string]time.Time{}, limits: map[string]*account{}, requesters: map[Requester]*requester{}, received: map[string]map[string]int{}}
}

// SetReplicas sets the members of the group, the ones that this replica is linked with, and whether
// it is partitioned from most of them. A partitioned replica issues no tokens, since the others may
// already own its shares.
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

// SetLimit sets the limit of a server of a service, in requests per second.
func (b *Broker) SetLimit(now time.Time, server, service string, rate float64) {
	a := b.limits[server]
	if a == nil {
		a = &account{levelAt: now}
		b.limits[server] = a
	}
	b.refill(now, server, a)
	a.service, a.rate = service, rate
}

// RemoveLimit removes the limit of a server.
func (b *Broker) RemoveLimit(server string) { delete(b.limits, server) }

// AddTokens adds tokens that another replica has issued to this one for its gateways.
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

// Release takes back tokens that a requester released. Issue returns tokens of other replicas to
// their owners, unless a gateway of this replica can use them.
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

// ownedRate returns the share of a limit that a replica owns, in requests per second.
func (b *Broker) ownedRate(replica, server string, rate float64) float64 {
	owners := min(max(int(rate/ratePerOwner), 1), len(b.active))
	key := stablehash.Name(server)
	rank, ownHash := 0, stablehash.Pair(stablehash.Name(replica), key)
	for _, m := range b.active {
		if m != replica && stablehash.Pair(stablehash.Name(m), key) < ownHash {
			rank++
		}
	}
	if rank >= owners || !slices.Contains(b.active, replica) {
		return 0
	}
	return rate / float64(owners)
}

// refill adds what has accrued of this replica's share of a limit.
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

// Issue returns the tokens to issue now, and those to release to other replicas. serves reports
// whether a gateway of this replica sends requests to a server.
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

// issue records one issued token and adds it to the grants.
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
