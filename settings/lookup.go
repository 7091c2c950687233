package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// PlacedServer is a server with its position in the tree and the limits that apply to it.
type PlacedServer struct {
	Name, Agent       string
	Site, Pool        string
	Zone, Region      string
	Role, Service     string
	Models            []string
	Slots             int
	LinkRate          int64
	KVHold, LeaseTime time.Duration
}

// Servers lists all servers, ordered by site, pool and name.
func (t *Tree) Servers() []PlacedServer {
	var out []PlacedServer
	for _, site := range sorted(t.Fleet.Sites) {
		s := t.Fleet.Sites[site]
		for _, pool := range sorted(s.Pools) {
			for _, name := range sorted(s.Pools[pool].Servers) {
				out = append(out, t.placedServer(site, pool, name))
			}
		}
	}
	return out
}

func (t *Tree) placedServer(site, pool, name string) PlacedServer {
	s := t.Fleet.Sites[site]
	p := s.Pools[pool]
	e := t.EffectiveAt(site, pool, "")
	return PlacedServer{
		Name: name, Agent: p.Servers[name].Agent, Site: site, Pool: pool,
		Zone: s.Zone, Region: s.Region, Role: p.Role, Service: p.Service,
		Models: sorted(p.Models), Slots: e.Slots, LinkRate: e.LinkRate,
		KVHold: e.KVHold, LeaseTime: e.LeaseTime,
	}
}

// Server returns the server with a name, and whether it exists.
func (t *Tree) Server(name string) (PlacedServer, bool) {
	for site, s := range t.Fleet.Sites {
		for pool, p := range s.Pools {
			if _, ok := p.Servers[name]; ok {
				return t.placedServer(site, pool, name), true
			}
		}
	}
	return PlacedServer{}, false
}

// Grant is what a token permits its bearer.
type Grant struct {
	// Customer is the name of the organisation.
	Customer string
	// Class is the name of the class of its requests.
	Class string
}

// Grants maps the hash of each token to its grant, for a lookup per request.
func (t *Tree) Grants() map[string]Grant {
	out := map[string]Grant{}
	for name, c := range t.Fleet.Customers {
		for _, tok := range c.Tokens {
			out[tok.SHA256] = Grant{Customer: name, Class: tok.Class}
		}
	}
	return out
}

// HashToken returns the hash of a token as the settings contain it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// DefaultClaimLifetime is the time for which keys are kept if the service sets none.
const DefaultClaimLifetime = 24 * time.Hour

// DefaultTimeout is the timeout of one call if the service sets none.
const DefaultTimeout = 10 * time.Second

// ClaimLifetimeOrDefault returns the time for which a key of the service is kept.
func (s Service) ClaimLifetimeOrDefault() time.Duration {
	if s.ClaimLifetime > 0 {
		return s.ClaimLifetime.D()
	}
	return DefaultClaimLifetime
}

// TimeoutOrDefault returns the timeout of one call.
func (s Service) TimeoutOrDefault() time.Duration {
	if s.Timeout > 0 {
		return s.Timeout.D()
	}
	return DefaultTimeout
}

// ShareOrOne returns the weight of the customer against other customers.
func (c Customer) ShareOrOne() int { return max(c.Share, 1) }
