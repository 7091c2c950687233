package warmup

import (
	"cmp"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/internal/stablehash"
)

// Durations of leases.
const (
	// LeaseTTL is how long a lease is valid after its arrival.
	LeaseTTL = time.Second
	// renewAfter is the age at which a lease is renewed.
	renewAfter = 300 * time.Millisecond
	// reassignDelay is the time between the end of a lease, as its replica counts it, and the next
	// lease to another gateway: the second in which the requests sent last still count, and a
	// margin for a grant that was delayed on its way.
	reassignDelay = time.Second + 500*time.Millisecond
)

// Bounds limits the requests to a cold server: in no second may they exceed its rate times
// Overshoot plus Slack.
type Bounds struct{ Overshoot, Slack float64 }

// burstSeconds is how many seconds of requests may reach a server in one second: a request counts
// when it is placed, and may be sent up to one prefill later.
const burstSeconds = 2

// Share returns how many requests per second the holder of a lease may send to a server with the
// given rate, where index is the index of the granting replica among all replicas. All shares
// together are within the bounds; if they don't suffice for all replicas, only the first ones grant
// leases.
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

// Broker leases one replica's shares of cold servers to gateways. A Broker isn't safe for
// concurrent use.
type Broker struct {
	// noGrantsUntil is the time before which it grants no leases: an earlier process of the
	// replica may have granted some just before this one started.
	noGrantsUntil time.Time
	leases        map[string]*grantedLease
}

type grantedLease struct {
	holder    string
	renewedAt time.Time
}

// NewBroker returns the broker of a replica that starts at now.
func NewBroker(now time.Time) *Broker {
	return &Broker{noGrantsUntil: now.Add(LeaseTTL + reassignDelay), leases: map[string]*grantedLease{}}
}

// ColdServer is a cold server with the gateways that may get its lease.
type ColdServer struct {
	Server   string
	Gateways []string
}

// Grant is the lease of a server to a gateway.
type Grant struct{ Server, Gateway string }

// Lease returns the leases to send now: for each cold server one lease, to the same gateway as long
// as that is among those that may get it.
func (b *Broker) Lease(now time.Time, list []ColdServer) []Grant {
	held := map[string]int{}
	for id, l := range b.leases {
		if now.Sub(l.renewedAt) >= LeaseTTL+reassignDelay {
			delete(b.leases, id)
			continue
		}
		held[l.holder]++
	}
	if now.Before(b.noGrantsUntil) {
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

// fewestLeases returns the gateway with the fewest leases. Ties are broken by a hash that differs
// from server to server.
func fewestLeases(c ColdServer, held map[string]int) string {
	server := stablehash.Name(c.Server)
	return slices.MinFunc(c.Gateways, func(a, b string) int {
		return cmp.Or(cmp.Compare(held[a], held[b]), cmp.Compare(stablehash.Pair(stablehash.Name(a), server), stablehash.Pair(stablehash.Name(b), server)))
	})
}
