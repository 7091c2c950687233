package ratelimit

import (
	"slices"
	"time"
)

// askFor is how long the demand that a gateway or a replica has told counts.
const demandTTL = time.Second

// Demand is what a gateway, or those of a replica together, would send to a service.
type Demand struct {
	// Rate is the requests a second that came of late.
	Rate float64
	// Waiting are the requests that wait for a token, Priority is the rank of the most urgent
	// one; the lowest is first.
	Waiting  int
	Priority int
	// Received counts the tokens that came from the replica that is asked, since it is: those that
	// are on their way must not be issued once more.
	Received int
}

// Add returns the demand of two together.
func (d Demand) Add(o Demand) Demand {
	out := Demand{Rate: d.Rate + o.Rate, Waiting: d.Waiting + o.Waiting, Priority: d.Priority}
	if d.Waiting == 0 || o.Waiting > 0 && o.Priority < d.Priority {
		out.Priority = o.Priority
	}
	return out
}

// Requester is who tokens are issued to: a gateway that shares with this replica, or another
// replica, which hands them to its gateways.
type Requester struct {
	Name    string
	Replica bool
}

// asker is what is known of an asker.
type requester struct {
	demand map[string]Demand
	at     time.Time
	// out are the tokens that were issued to it and have not ended, by service, and issued
	// counts all of them; credit is how far it is behind the others.
	outstanding map[string]*batches
	issued      map[string]int
	issuedAt    time.Time
	credit      map[string]float64
}

// SetDemand takes what an asker wants of all services.
func (b *Broker) SetDemand(now time.Time, from Requester, demand map[string]Demand) {
	r := b.requesters[from]
	if r == nil {
		r = &requester{outstanding: map[string]*batches{}, issued: map[string]int{}, credit: map[string]float64{}}
		b.requesters[from] = r
	}
	r.demand, r.at = demand, now
	for service, d := range demand {
		// Those that have not come by now are lost, and what came before a restart is not known.
		if d.Received > r.issued[service] || now.Sub(r.issuedAt) >= TokenTTL {
			r.issued[service] = d.Received
		}
	}
}

// lacks returns the requests of an asker that wait and for which no token is on its way.
func (r *requester) unmet(service string) int {
	d := r.demand[service]
	return d.Waiting - max(r.issued[service]-d.Received, 0)
}

// Forget forgets an asker.
func (b *Broker) Forget(from Requester) { delete(b.requesters, from) }

// Demand returns what the gateways of this replica want together, by service with a limit; of
// the requests that wait those for which there is no token yet.
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

// PeerDemand returns what the other replicas have to be asked for that own parts of limits, by replica.
// Each request that waits is told to one of them, another one each time, so that it does not get
// a token from several.
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

// owners returns the replicas that own a part of some limit of each service, in order.
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
