package ratelimit

import (
	"slices"
	"time"
)

// demandTTL is how long the reported demand of a gateway or a replica is valid.
const demandTTL = time.Second

// Demand is what one gateway, or all gateways of a replica together, would send to a service.
type Demand struct {
	// Rate is the recent number of requests per second.
	Rate float64
	// Waiting is the number of requests that wait for a token; Priority is the rank of the most
	// urgent of them, the lowest first.
	Waiting  int
	Priority int
	// Received counts the tokens received from the replica that gets this demand, since the link to
	// it opened: tokens in flight must not be issued twice.
	Received int
}

// Add returns the sum of two demands.
func (d Demand) Add(o Demand) Demand {
	out := Demand{Rate: d.Rate + o.Rate, Waiting: d.Waiting + o.Waiting, Priority: d.Priority}
	if d.Waiting == 0 || o.Waiting > 0 && o.Priority < d.Priority {
		out.Priority = o.Priority
	}
	return out
}

// Requester is a receiver of tokens: a gateway connected to this replica, or another replica, which
// passes them on to its gateways.
type Requester struct {
	Name    string
	Replica bool
}

// requester is the state of one Requester.
type requester struct {
	demand map[string]Demand
	at     time.Time
	// outstanding holds the tokens issued to it that haven't expired, by service; issued counts all
	// tokens issued to it. credit is how far it is behind the other requesters.
	outstanding map[string]*batches
	issued      map[string]int
	issuedAt    time.Time
	credit      map[string]float64
}

// SetDemand sets the demand of a requester for all services.
func (b *Broker) SetDemand(now time.Time, from Requester, demand map[string]Demand) {
	r := b.requesters[from]
	if r == nil {
		r = &requester{outstanding: map[string]*batches{}, issued: map[string]int{}, credit: map[string]float64{}}
		b.requesters[from] = r
	}
	r.demand, r.at = demand, now
	for service, d := range demand {
		// Tokens that haven't been received by now are lost, and tokens received before a restart
		// of this process were not counted here.
		if d.Received > r.issued[service] || now.Sub(r.issuedAt) >= TokenTTL {
			r.issued[service] = d.Received
		}
	}
}

// unmet returns the number of waiting requests of a requester for which no token is in flight.
func (r *requester) unmet(service string) int {
	d := r.demand[service]
	return d.Waiting - max(r.issued[service]-d.Received, 0)
}

// Forget removes a requester.
func (b *Broker) Forget(from Requester) { delete(b.requesters, from) }

// Demand returns the total demand of the gateways of this replica, by service with a limit. Its
// Waiting excludes requests for which there is a token already.
func (b *Broker) Demand(now time.Time) map[string]Demand {
	out := map[string]Demand{}
	for from, r := range b.requesters {
		if from.Replica || now.Sub(r.at) >= demandTTL {
			continue
		}
		for service, d := range r.demand {
			if d.Waiting = max(r.unmet(service), 0); d.Rate > 0 || d.Waiting > 0 {
				out[service] = out[service].Add(d)
			}
		}
	}
	for _, l := range b.limits {
		if d, ok := out[l.service]; ok {
			d.Waiting = max(d.Waiting-l.fromPeers.live(now), 0)
			out[l.service] = d
		}
	}
	return out
}

// PeerDemand returns the demand to report to each of the other replicas that own shares of limits.
// Each waiting request is reported to one of them, a different one in each round, so that it
// doesn't get tokens from several.
func (b *Broker) PeerDemand(now time.Time) map[string]map[string]Demand {
	out := map[string]map[string]Demand{}
	demand := b.Demand(now)
	b.rounds++
	for service, owners := range b.owners() {
		d, ok := demand[service]
		if !ok {
			continue
		}
		for i, o := range owners {
			if o == b.self {
				continue
			}
			peerDemand := d
			peerDemand.Waiting, peerDemand.Received = (d.Waiting+(i+b.rounds)%len(owners))/len(owners), b.received[o][service]
			if out[o] == nil {
				out[o] = map[string]Demand{}
			}
			out[o][service] = peerDemand
		}
	}
	return out
}

// owners returns the replicas that own a share of some limit of each service, sorted by name.
func (b *Broker) owners() map[string][]string {
	out := map[string][]string{}
	for server, l := range b.limits {
		for _, m := range b.active {
			if b.ownedRate(m, server, l.rate) > 0 && !slices.Contains(out[l.service], m) {
				out[l.service] = append(out[l.service], m)
			}
		}
	}
	for _, list := range out {
		slices.Sort(list)
	}
	return out
}

// Supply is the total limit of the servers of a service that report one, in requests per second,
// and the number of requests waiting for them.
type Supply struct {
	Rate    float64
	Waiting int
}

// Supply returns the supply of each service with a limit.
func (b *Broker) Supply(now time.Time) map[string]Supply {
	out := map[string]Supply{}
	for _, l := range b.limits {
		s := out[l.service]
		s.Rate += l.rate
		out[l.service] = s
	}
	for _, r := range b.requesters {
		if now.Sub(r.at) >= demandTTL {
			continue
		}
		for service, d := range r.demand {
			if s, ok := out[service]; ok {
				s.Waiting += d.Waiting
				out[service] = s
			}
		}
	}
	return out
}
