// Package config reads the YAML file of one process: the roles that it has and
// where it stands. What the fleet should do stands in the settings tree, not
// here.
package config

import (
	"os"
	"time"

	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/strict"
)

// File is the settings file of a process.
type File struct {
	// Name is the name of the process in logs and links.
	Name string `yaml:"name" check:"required"`
	// Zone is its availability zone.
	Zone string `yaml:"zone" check:"required"`
	// Zones are the availability zones of the deployment with the region of each.
	Zones map[string]string `yaml:"zones,omitempty"`
	// Roles are entry, agent, control and gateway; an agent stands alone.
	Roles []string `yaml:"roles" check:"required"`
	// Operators is the address of the operators' listener.
	Operators string `yaml:"operators" check:"required"`
	// Metrics is an address at which the metrics alone are served, without a token; empty
	// if there is none.
	Metrics string `yaml:"metrics,omitempty"`
	// Data is the data folder; empty on a VM without a disk.
	Data string `yaml:"data,omitempty"`
	// Drain bounds the time for streams in progress after SIGTERM.
	Drain strict.Duration `yaml:"drain,omitempty" check:"min=0,max=86400000000000"`
	// Memory is the memory that the process may use; no bound if it is zero.
	Memory strict.Bytes `yaml:"memory,omitempty"`
	Log    Log          `yaml:"log,omitempty"`
	TLS    *TLS         `yaml:"tls,omitempty"`
	Tokens Tokens       `yaml:"tokens,omitempty"`

	Entry   *Entry   `yaml:"entry,omitempty"`
	Agent   *Agent   `yaml:"agent,omitempty"`
	Control *Control `yaml:"control,omitempty"`
	Gateway *Gateway `yaml:"gateway,omitempty"`
}

// Log is how the process logs.
type Log struct {
	Level  string `yaml:"level,omitempty" check:"oneof=debug|info|warn|error"`
	Format string `yaml:"format,omitempty" check:"oneof=json|text"`
}

// TLS names the files for encrypted listeners and links.
type TLS struct {
	Cert string `yaml:"cert" check:"required"`
	Key  string `yaml:"key" check:"required"`
	// CA is what peers' certificates are checked against.
	CA string `yaml:"ca" check:"required"`
}

// Tokens names the files that hold bearer tokens.
type Tokens struct {
	// Peers is shared by all processes of the fleet.
	Peers string `yaml:"peers,omitempty"`
	// Operators is what operators present.
	Operators string `yaml:"operators,omitempty"`
	// TrustedNetwork tells that only processes of the fleet reach the links, so
	// that no token is needed there.
	TrustedNetwork bool `yaml:"trusted_network,omitempty"`
}

// Entry is the part of the entry role.
type Entry struct {
	// Callers is the address of the callers' listener.
	Callers string `yaml:"callers" check:"required"`
	// Links is the address at which other entries use this one as a relay.
	Links string `yaml:"links,omitempty"`
	// Upstream are control replicas or relays, tried in turn.
	Upstream []string `yaml:"upstream" check:"required"`
	// Peers are processes of the site to ask when control is out of reach.
	Peers []string `yaml:"peers,omitempty"`
	// Platform is the address of the platform's list of VMs.
	Platform string `yaml:"platform,omitempty"`
}

// Agent is the part of the agent role.
type Agent struct {
	// Server is the name of its backend server in the settings.
	Server string `yaml:"server" check:"required"`
	// Links is the address at which entries reach the agent.
	Links string `yaml:"links" check:"required"`
	// Engine and Service are addresses on the VM; one of them is given.
	Engine  string `yaml:"engine,omitempty"`
	Service string `yaml:"service,omitempty"`
}

// Control is the part of the control role.
type Control struct {
	// Links is the address at which replicas and relays reach it.
	Links string `yaml:"links" check:"required"`
	// Members are the first replicas by name.
	Members map[string]string `yaml:"members,omitempty"`
	// Discovery is given in place of Members where replicas find each other.
	Discovery *Discovery `yaml:"discovery,omitempty"`
	// API is the address at which servers register and operators put routing
	// tables.
	API string `yaml:"api,omitempty"`
	// Engines is how the leader gives the engines that gateways drive their
	// roles.
	Engines Engines   `yaml:"engines,omitempty"`
	Quota   Quota     `yaml:"quota,omitempty"`
	Upgrade Upgrade   `yaml:"upgrade,omitempty"`
	Cold    ColdLimit `yaml:"cold,omitempty"`
}

// Cold tells how what cold servers get is judged, which is by the rate of their service: in no
// second may all gateways together send one of them more than the rate times Overshoot and
// Slack requests.
type ColdLimit struct {
	Overshoot float64 `yaml:"overshoot,omitempty" check:"min=0,max=100"`
	Slack     float64 `yaml:"slack,omitempty" check:"min=0,max=100000"`
}

// Engines is how engines get their roles.
type Engines struct {
	// PrefillShare is the share of prefill engines before there is any load.
	PrefillShare float64 `yaml:"prefill_share,omitempty" check:"min=0,max=1"`
	// OrderLease is the time that must pass between orders of two leaders.
	OrderLease strict.Duration `yaml:"order_lease,omitempty" check:"min=0,max=3600000000000"`
}

// DefaultEngines is used where the file says nothing.
var DefaultEngines = Engines{PrefillShare: 0.33, OrderLease: strict.Duration(3 * time.Second)}

// Upgrade is how the fleet's version rises.
type Upgrade struct {
	// After is the time for which all members of control must have told that they read the
	// next version before it rises by itself; zero leaves it to operators.
	After *strict.Duration `yaml:"after,omitempty" check:"min=0,max=604800000000000"`
}

// DefaultUpgradeAfter is used where the file says nothing. It is DefaultDrain: the last process
// of the old build may still be ending its streams for as long, and until then nobody has seen
// the new build do all of the work. Going back is no more than the old build again until then.
const DefaultUpgradeAfter = DefaultDrain

// Wait returns the time, or the default.
func (u Upgrade) AfterOrDefault() time.Duration {
	if u.After == nil {
		return DefaultUpgradeAfter
	}
	return u.After.D()
}

// Discovery is how control replicas find each other.
type Discovery struct {
	// Seeds are addresses of some replicas. Only the IP numbers count: links
	// use the same port on all VMs.
	Seeds []string `yaml:"seeds" check:"required"`
	// Found lets a seed with an empty data folder found the group.
	Found bool `yaml:"found,omitempty"`
	// Tolerate is the number of replicas that may be lost at once.
	Tolerate int `yaml:"tolerate,omitempty" check:"min=0,max=4"`
}

// Gateway is the part of the gateway role.
type Gateway struct {
	// Callers is the address of the callers' listener, Ready the one at which
	// the balancer asks whether callers may come.
	Callers string `yaml:"callers" check:"required"`
	Ready   string `yaml:"ready" check:"required"`
	// Seeds are addresses of some control replicas; links use LinksPort there.
	Seeds     []string   `yaml:"seeds" check:"required"`
	LinksPort int        `yaml:"links_port" check:"required,min=1,max=65535"`
	Retry     Retry      `yaml:"retry,omitempty"`
	Quota     Quota      `yaml:"quota,omitempty"`
	Held      HeldMemory `yaml:"held,omitempty"`
}

// Held bounds the memory that a gateway holds for callers: bodies, answers and streams. Without
// a bound for the process there is none.
type HeldMemory struct {
	// Share is the part of the process's memory, Organisation the part of that which the
	// requests of one organisation may have.
	Share        float64 `yaml:"share,omitempty" check:"min=0,max=0.7"`
	Organisation float64 `yaml:"organisation,omitempty" check:"min=0,max=1"`
}

// DefaultHeld is used where the file says nothing.
var DefaultHeldMemory = HeldMemory{Share: 0.4, Organisation: 0.5}

// orDefault fills in what the file leaves out.
func (h HeldMemory) withDefaults() HeldMemory {
	if h.Share == 0 {
		h.Share = DefaultHeldMemory.Share
	}
	if h.Organisation == 0 {
		h.Organisation = DefaultHeldMemory.Organisation
	}
	return h
}

// Quota tells how the use of the limits of organisations is judged; gateways and control
// have the same. In no Window may it be above what the limit gives by more than the share
// Overshoot and Slack units.
type Quota struct {
	Window    strict.Duration `yaml:"window,omitempty" check:"min=0,max=3600000000000"`
	Overshoot float64         `yaml:"overshoot,omitempty" check:"min=0,max=1"`
	Slack     float64         `yaml:"slack,omitempty" check:"min=0,max=1000000000"`
}

// Retry bounds the sends beyond the first of each request, for all gateways
// together.
type Retry struct {
	// Ratio is the share of requests, Slack the constant part in a window.
	Ratio  float64         `yaml:"ratio,omitempty" check:"min=0,max=10"`
	Slack  float64         `yaml:"slack,omitempty" check:"min=0,max=100000"`
	Window strict.Duration `yaml:"window,omitempty" check:"min=0,max=3600000000000"`
}

// DefaultRetry is used where the file has no bounds.
var DefaultRetry = Retry{Ratio: 0.1, Slack: 10, Window: strict.Duration(10 * time.Second)}

// Roles of a process.
const (
	RoleEntry   = "entry"
	RoleAgent   = "agent"
	RoleControl = "control"
	RoleGateway = "gateway"
)

// DefaultDrain is the time for streams in progress if the file has none.
const DefaultDrain = 10 * time.Minute

// Load reads and checks a file.
func Load(path string) (*File, []byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.InvalidConfig, fault.StepConfig, path)
	}
	f, err := Parse(path, data)
	return f, data, err
}

// Parse checks the text of a file.
func Parse(path string, data []byte) (*File, error) {
	f := &File{}
	if err := strict.Decode(path, data, f); err != nil {
		return nil, err
	}
	if f.Drain == 0 {
		f.Drain = strict.Duration(DefaultDrain)
	}
	if f.Gateway != nil && f.Gateway.Retry.Window == 0 {
		f.Gateway.Retry = DefaultRetry
	}
	if f.Gateway != nil {
		f.Gateway.Held = f.Gateway.Held.withDefaults()
	}
	if f.Control != nil && f.Control.Engines == (Engines{}) {
		f.Control.Engines = DefaultEngines
	}
	c := checker{path: path, file: f}
	c.checkRoles()
	c.checkAddresses()
	c.checkTokens()
	return f, c.problems.Err()
}
