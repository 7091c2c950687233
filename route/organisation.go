package route

import (
	"crypto/sha256"
	"fmt"
	"math"
	"slices"

	"github.com/ledgepin/ledgepin/quota"
)

// Unit is what the limit of an organisation counts.
type Unit string

// The units of limits.
const (
	// Requests counts each request as one.
	Requests Unit = "requests"
	// Tokens counts the tokens of the prompt plus the maximum tokens of the answer.
	Tokens Unit = "tokens"
)

// KeyDigest is the hash of an API key. Gateways hold digests only, so that none of their
// dumps, log lines and errors can contain a key, and so that a lookup takes equally long
// for a near miss as for any other key.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Organisation is the owner of some API keys, with the limits and regions of its
// requests.
type Organisation struct {
	Name string      `cbor:"1,keyasint" json:"name"`
	Keys []KeyDigest `cbor:"2,keyasint" json:"-"`
	// Priority overrides the priority of the route; nil keeps it.
	Priority *int `cbor:"3,keyasint,omitempty" json:"priority,omitempty"`
	// Rate and Burst limit the organisation's use, in units per second and in units above
	// that; there is no limit if Rate is zero.
	Unit  Unit    `cbor:"4,keyasint,omitempty" json:"unit,omitempty"`
	Rate  float64 `cbor:"5,keyasint,omitempty" json:"rate,omitempty"`
	Burst float64 `cbor:"6,keyasint,omitempty" json:"burst,omitempty"`
	// PlainTokens is the cost in tokens of a request whose tokens are unknown.
	PlainTokens int `cbor:"7,keyasint,omitempty" json:"plain_tokens,omitempty"`
	// Regions are those in which its requests may be served and stored, in addition to
	// the restriction of the route; empty for all.
	Regions []string `cbor:"8,keyasint,omitempty" json:"regions,omitempty"`
}

// Cost returns the units that a request counts against the limit. tokens is the size of
// the request, zero if it is unknown.
func (o *Organisation) Cost(tokens int) float64 {
	switch {
	case o.Unit == Requests:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(o.PlainTokens)
}

// PriorityFor returns the priority of the organisation's requests on a route. A nil
// organisation has the priority of the route.
func (o *Organisation) PriorityFor(r *Route) int {
	if o == nil || o.Priority == nil {
		return r.Priority
	}
	return *o.Priority
}

// RegionsFor returns the regions in which a request of an organisation on a route may be
// served and stored, as CommonRegions does.
func (r *Route) RegionsFor(o *Organisation) ([]string, bool) {
	if o == nil {
		return r.Regions, true
	}
	return CommonRegions(r.Regions, o.Regions)
}

// CommonRegions returns the regions that are in both lists. An empty list stands for all
// regions. It reports false if two lists have no region in common.
func CommonRegions(a, b []string) ([]string, bool) {
	switch {
	case len(b) == 0:
		return a, true
	case len(a) == 0:
		return b, true
	}
	var both []string
	for _, region := range a {
		if slices.Contains(b, region) {
			both = append(both, region)
		}
	}
	return both, len(both) > 0
}

func (o *Organisation) validate() error {
	if o.Unit != Requests && o.Unit != Tokens {
		return fmt.Errorf("unknown unit %q", o.Unit)
	}
	for _, v := range []float64{o.Rate, o.Burst, float64(o.PlainTokens)} {
		if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("rate, burst and plain tokens must be finite and not negative, got %v", v)
		}
	}
	if o.Burst > 0 && o.Rate == 0 {
		return fmt.Errorf("burst requires a rate")
	}
	return nil
}

// validateOrganisations returns the first error in the organisations. It names the
// organisation and the position of a key, never the key itself.
func validateOrganisations(list []Organisation) error {
	names := map[string]bool{}
	firstByKey := map[KeyDigest]int{}
	empty := DigestOf("")
	for i := range list {
		o := &list[i]
		if o.Name == "" || names[o.Name] {
			return fmt.Errorf("organisations[%d]: name %q is empty or duplicate", i, o.Name)
		}
		names[o.Name] = true
		if err := o.validate(); err != nil {
			return fmt.Errorf("organisations[%d] (%s): %w", i, o.Name, err)
		}
		for n, key := range o.Keys {
			if key == empty {
				return fmt.Errorf("organisations[%d] (%s): key %d is empty", i, o.Name, n)
			}
			if first, ok := firstByKey[key]; ok {
				return fmt.Errorf("organisations[%d] (%s): key %d is also listed at organisations[%d]", i, o.Name, n, first)
			}
			firstByKey[key] = i
		}
	}
	return nil
}

// OrganisationByKey returns the organisation that a key belongs to, or nil.
func (t *Table) OrganisationByKey(key string) *Organisation {
	return t.organisationsByKey[DigestOf(key)]
}

// Organisation returns an organisation by name, or nil.
func (t *Table) Organisation(name string) *Organisation {
	for i := range t.Organisations {
		if t.Organisations[i].Name == name {
			return &t.Organisations[i]
		}
	}
	return nil
}

// Quotas returns the limits of the organisations that have one, by name.
func (t *Table) Quotas() map[string]quota.Limit {
	out := map[string]quota.Limit{}
	for i := range t.Organisations {
		if o := &t.Organisations[i]; o.Rate > 0 {
			out[o.Name] = quota.Limit{Rate: o.Rate, Burst: o.Burst}
		}
	}
	return out
}
