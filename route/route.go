// Package route holds the routing table of requests: which service answers a host and
// path, and with which limits.
//
// A table is one complete version; versions increase. It is plain data without clocks or
// locks, and a table in use is never changed.
package route

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind is the kind of a route. It decides whether its requests may be repeated.
type Kind string

// The kinds of routes.
const (
	// Repeatable requests may run more than once.
	Repeatable Kind = "repeatable"
	// Once requests run at most once.
	Once Kind = "once"
	// Stream requests are answered by a stream of events.
	Stream Kind = "stream"
)

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name string `cbor:"1,keyasint" json:"name"`
	Host string `cbor:"2,keyasint" json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `cbor:"3,keyasint" json:"prefix"`
	Kind   Kind   `cbor:"4,keyasint" json:"kind"`
	// Timeout limits the total time of a request.
	Timeout time.Duration `cbor:"5,keyasint" json:"timeout"`
	// Target is the intended time to the answer, or to its first event. GapTarget is the
	// intended maximum pause between events.
	Target    time.Duration `cbor:"6,keyasint,omitempty" json:"target"`
	GapTarget time.Duration `cbor:"7,keyasint,omitempty" json:"gap_target"`
	// Priority orders requests in queues; 0 is the highest.
	Priority int `cbor:"8,keyasint,omitempty" json:"priority"`
	// Attempts is the maximum number of servers that a request is sent to.
	Attempts  int      `cbor:"9,keyasint,omitempty" json:"attempts"`
	Services  []Weight `cbor:"10,keyasint" json:"services"`
	Affinity  bool     `cbor:"11,keyasint,omitempty" json:"affinity"`
	Resumable bool     `cbor:"12,keyasint,omitempty" json:"resumable"`
	// Public routes require no API key.
	Public bool `cbor:"13,keyasint,omitempty" json:"public,omitempty"`
	// Regions are those in which its requests may be served and stored; empty for all.
	Regions []string `cbor:"14,keyasint,omitempty" json:"regions,omitempty"`
}

// Weight is the weight of a service in a route.
type Weight struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Weight  int    `cbor:"2,keyasint" json:"weight"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Service is a group of interchangeable servers.
type Service struct {
	Name           string  `cbor:"1,keyasint" json:"name"`
	HealthPath     string  `cbor:"2,keyasint,omitempty" json:"health_path"`
	MaxConnections int     `cbor:"3,keyasint,omitempty" json:"max_connections"`
	Engine         *Engine `cbor:"4,keyasint,omitempty" json:"engine,omitempty"`
	// ColdRate is how many requests per second a cold server can serve, as after its
	// start; zero if cold servers are not limited.
	ColdRate float64 `cbor:"5,keyasint,omitempty" json:"cold_rate,omitempty"`
	// ColdStart is how long a server stays cold after its start.
	ColdStart time.Duration `cbor:"6,keyasint,omitempty" json:"cold_start,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int `cbor:"1,keyasint" json:"slots"`
	// KVTokens is the KV cache capacity of one engine, in tokens.
	KVTokens     int     `cbor:"2,keyasint" json:"kv_tokens"`
	KVTokenBytes int     `cbor:"3,keyasint,omitempty" json:"kv_token_bytes"`
	LinkMbps     float64 `cbor:"4,keyasint,omitempty" json:"link_mbps"`
	// KVHold is how long an engine keeps the result of a prefill.
	KVHold time.Duration `cbor:"5,keyasint,omitempty" json:"kv_hold"`
	// RoleSwitch is how long an engine is unavailable when its role changes.
	RoleSwitch time.Duration `cbor:"6,keyasint,omitempty" json:"role_switch"`
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int `cbor:"7,keyasint,omitempty" json:"event_tokens"`
	// HoldMost is the maximum time for which an engine reserves memory; zero if it does
	// not reserve any.
	HoldMost time.Duration `cbor:"8,keyasint,omitempty" json:"hold_most"`
	// Migrates reports whether a run can continue on another engine with its KV cache.
	Migrates bool `cbor:"9,keyasint,omitempty" json:"migrates,omitempty"`
}

// PromptPart is a section of a prompt. Prompts with equal beginnings share their first
// parts, and engines cache the KV data of parts that they have processed.
type PromptPart struct {
	ID     string
	Tokens int
}

// Limits bound the size and timing of what callers send.
type Limits struct {
	HeaderBytes   int           `cbor:"1,keyasint" json:"header_bytes"`
	BodyBytes     int64         `cbor:"2,keyasint" json:"body_bytes"`
	HeaderTimeout time.Duration `cbor:"3,keyasint" json:"header_timeout"`
	IdleTimeout   time.Duration `cbor:"4,keyasint" json:"idle_timeout"`
}

// Table is one version of all routes.
type Table struct {
	Version  uint64    `cbor:"1,keyasint" json:"version"`
	Routes   []Route   `cbor:"2,keyasint" json:"routes"`
	Services []Service `cbor:"3,keyasint" json:"services"`
	Limits   Limits    `cbor:"4,keyasint" json:"limits"`
	// Source is the document that the table was read from, byte for byte, for operators
	// who read it back. It stays with control.
	Source []byte `cbor:"5,keyasint,omitempty" json:"-"`
	// Keyed reports whether requests require the key of one of the Organisations, except
	// on public routes.
	Keyed         bool           `cbor:"6,keyasint,omitempty" json:"keyed,omitempty"`
	Organisations []Organisation `cbor:"7,keyasint,omitempty" json:"organisations,omitempty"`

	byHost             map[string][]*Route
	services           map[string]*Service
	organisationsByKey map[KeyDigest]*Organisation
	// prioritized holds the services whose routes have different priorities.
	prioritized map[string]bool
}

// Validate returns the first error in the table, with its position.
func (t *Table) Validate() error {
	known := map[string]bool{}
	for i, s := range t.Services {
		if s.Name == "" || known[s.Name] {
			return fmt.Errorf("services[%d]: name %q is empty or duplicate", i, s.Name)
		}
		known[s.Name] = true
		if s.ColdRate < 0 || s.ColdStart < 0 {
			return fmt.Errorf("services[%d] (%s): rate and duration of cold servers must not be negative", i, s.Name)
		}
	}
	firstByHostPrefix := map[string]int{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.validate(known); err != nil {
			return fmt.Errorf("routes[%d] (%s): %w", i, r.Name, err)
		}
		hostPrefix := strings.ToLower(r.Host) + " " + r.Prefix
		if first, ok := firstByHostPrefix[hostPrefix]; ok {
			return fmt.Errorf("routes[%d] (%s): same host and prefix as routes[%d]", i, r.Name, first)
		}
		firstByHostPrefix[hostPrefix] = i
	}
	return validateOrganisations(t.Organisations)
}

func (r *Route) validate(services map[string]bool) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("host must not be empty, and prefix %q must begin and end with a slash", r.Prefix)
	}
	switch r.Kind {
	case Repeatable, Once, Stream:
	default:
		return fmt.Errorf("unknown kind %q", r.Kind)
	}
	if r.Timeout <= 0 {
		return fmt.Errorf("timeout must be positive")
	}
	total := 0
	for _, w := range r.Services {
		if !services[w.Service] {
			return fmt.Errorf("unknown service %q", w.Service)
		}
		if w.Weight < 0 {
			return fmt.Errorf("service %q has a negative weight", w.Service)
		}
		total += w.Weight
	}
	if total == 0 {
		return fmt.Errorf("the sum of the weights is 0")
	}
	return nil
}

// Index prepares the table for lookups. It must be called once before use.
func (t *Table) Index() {
	t.byHost = map[string][]*Route{}
	t.services = map[string]*Service{}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	t.indexPriorities()
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	t.organisationsByKey = map[KeyDigest]*Organisation{}
	for i := range t.Organisations {
		for _, key := range t.Organisations[i].Keys {
			t.organisationsByKey[key] = &t.Organisations[i]
		}
	}
}

// Lookup returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Lookup(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Persisted returns the table as the log stores it: without the fields that builds of the
// base version cannot read. Source still contains them.
func (t *Table) Persisted() *Table {
	out := Table{Version: t.Version, Limits: t.Limits, Source: t.Source, Keyed: t.Keyed, Routes: slices.Clone(t.Routes), Services: slices.Clone(t.Services), Organisations: slices.Clone(t.Organisations)}
	for i := range out.Routes {
		out.Routes[i].Regions = nil
	}
	for i := range out.Services {
		out.Services[i].ColdRate, out.Services[i].ColdStart = 0, 0
	}
	for i := range out.Organisations {
		out.Organisations[i].Regions = nil
	}
	return &out
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Objective returns the shortest target of the routes to a service; zero if none has one.
func (t *Table) Objective(service string) time.Duration {
	var out time.Duration
	for i := range t.Routes {
		r := &t.Routes[i]
		for _, w := range r.Services {
			if w.Service == service && w.Weight > 0 && r.Target > 0 && (out == 0 || r.Target < out) {
				out = r.Target
			}
		}
	}
	return out
}

// Includes reports whether requests of the route may be served by a service.
func (r *Route) Includes(service string) bool {
	return slices.ContainsFunc(r.Services, func(w Weight) bool { return w.Service == service && w.Weight > 0 })
}

// SoleService returns the service that serves all requests of the route; empty if there are several.
func (r *Route) SoleService() string {
	sole := ""
	for _, w := range r.Services {
		switch {
		case w.Weight <= 0:
		case sole != "" && sole != w.Service:
			return ""
		default:
			sole = w.Service
		}
	}
	return sole
}

// Pick chooses a service of the route by weight; at is uniformly distributed in [0, 1).
func (r *Route) Pick(at float64) string {
	total := 0
	for _, w := range r.Services {
		total += w.Weight
	}
	remaining := int(at * float64(total))
	for _, w := range r.Services {
		if remaining < w.Weight {
			return w.Service
		}
		remaining -= w.Weight
	}
	return r.Services[0].Service
}
