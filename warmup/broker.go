package warmup

import (
	"cmp"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/internal/mix"
)

// Times of leases.
const (
	// LeaseTTL is how long a lease holds from its arrival on.
	LeaseTTL = time.Second
	// renewAfter is the age at which a lease is renewed.
	renewAfter = 300 * time.Millisecond
	// gap is the time between the end of a lease, as its lender counts it, and the next one
	// to somebody else: the second in which what was sent last still counts, and a margin
	// for a report that was held up on its way.
	reassignDelay = time.Second + 500*time.Millisecond
)

// Bounds tell how what cold servers get is judged: in no second may it be above their rate
// times Overshoot plus Slack.
type Bounds struct{ Overshoot, Slack float64 }

// bunched is how many seconds' worth of requests may reach a server in one: a request counts
// when it is placed, and may be sent up to the time of a read later.
const burstSeconds = 2

// Share returns how many requests a second the holder of a lease may send to a server with a
// rate, where a number of replicas lend, of which this is the one with an index. All shares
// together are within the bounds; where they do not suffice for all, the first replicas lend.
func (b Bounds) Share(rate float64, replicas, index int) int {
	total := int((rate*max(b.Overshoot, 1) + b.Slack) / burstSeconds)
	if replicas <= 0 || index < 0 || index >= replicas {
		return 0
	}
	if share := total / replicas; share > 0 {
		return share
	}
	if index < total {
		return 1
	}
	return 0
}

// Broker lends one replica's parts of cold servers. It is not safe for concurrent use.
type Broker struct {
	// quietUntil is when it may lend: another process may have lent just before this one
	// started.
	quietUntil time.Time
	leases     map[string]*grantedLease
}

type grantedLease struct {
	holder    string
	renewedAt time.Time
}

// NewBroker returns a broker that starts now.
func NewBroker(now time.Time) *Broker {
	return &Broker{quietUntil: now.Add(LeaseTTL + reassignDelay), leases: map[string]*grantedLease{}}
}

// ColdServer is a cold server with the gateways that may have its lease.
type ColdServer struct {
	Server   string
	Gateways []string
}

// Grant lets a gateway send to a server.
type Grant struct{ Server, Gateway string }

// Lend returns the leases that are to be told now: for each cold server one gateway of those
// that may have it, the same one as long as it may.
func (b *Broker) Lend(now time.Time, list []ColdServer) []Grant {
	held := map[string]int{}
	for id, l := range b.leases {
		if now.Sub(l.renewedAt) >= LeaseTTL+reassignDelay {
			delete(b.leases, id)
			continue
		}
		held[l.holder]++
	}
	if now.Before(b.quietUntil) {
		return nil
	}
	var out []Grant
	for _, c := range list {
		l := b.leases[c.Server]
		switch {
		case l == nil && len(c.Gateways) == 0:
			continue
		case l == nil:
			l = &grantedLease{holder: fewestLeases(c, held)}
			held[l.holder]++
			b.leases[c.Server] = l
		case now.Sub(l.renewedAt) < renewAfter || !slices.Contains(c.Gateways, l.holder):
			continue
		}
		l.renewedAt = now
		out = append(out, Grant{Server: c.Server, Gateway: l.holder})
	}
	return out
}

// leastLent returns the gateway with the fewest leases, another one for each server if several
// have as few.
func fewestLeases(c ColdServer, held map[string]int) string {
	server := mix.Name(c.Server)
	return slices.MinFunc(c.Gateways, func(a, b string) int {
		return cmp.Or(cmp.Compare(held[a], held[b]), cmp.Compare(mix.Pair(mix.Name(a), server), mix.Pair(mix.Name(b), server)))
	})
}
