// Package config reads the YAML file of one process: its roles, its addresses and its location. The
// settings of the fleet are in the settings tree instead.
package config

import (
	"os"
	"time"

	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/strict"
)

// File is the configuration file of a process.
type File struct {
	// Name is the name of the process in logs and links.
	Name string `yaml:"name" check:"required"`
	// Zone is its availability zone.
	Zone string `yaml:"zone" check:"required"`
	// Zones are the availability zones of the deployment with the region of each.
	Zones map[string]string `yaml:"zones,omitempty"`
	// Roles are entry, agent, control and gateway; an agent has no other role.
	Roles []string `yaml:"roles" check:"required"`
	// Operators is the address of the operators' listener.
	Operators string `yaml:"operators" check:"required"`
	// Metrics is an address that serves only the metrics, without a token; empty for none.
	Metrics string `yaml:"metrics,omitempty"`
	// Data is the data folder; empty on a VM without a disk.
	Data string `yaml:"data,omitempty"`
	// Drain is the longest time for which streams in progress continue after SIGTERM.
	Drain strict.Duration `yaml:"drain,omitempty" check:"min=0,max=86400000000000"`
	// Memory is the memory that the process may use; no limit if it is zero.
	Memory strict.Bytes `yaml:"memory,omitempty"`
	Log    Log          `yaml:"log,omitempty"`
	TLS    *TLS         `yaml:"tls,omitempty"`
	Tokens Tokens       `yaml:"tokens,omitempty"`

	Entry   *Entry   `yaml:"entry,omitempty"`
	Agent   *Agent   `yaml:"agent,omitempty"`
	Control *Control `yaml:"control,omitempty"`
	Gateway *Gateway `yaml:"gateway,omitempty"`
}

// Log configures the log of the process.
type Log struct {
	Level  string `yaml:"level,omitempty" check:"oneof=debug|info|warn|error"`
	Format string `yaml:"format,omitempty" check:"oneof=json|text"`
}

// TLS names the files for encrypted listeners and links.
type TLS struct {
	Cert string `yaml:"cert" check:"required"`
	Key  string `yaml:"key" check:"required"`
	// CA is the file with the certificates against which those of peers are checked.
	CA string `yaml:"ca" check:"required"`
}

// Tokens names the files that hold bearer tokens.
type Tokens struct {
	// Peers is the file with the token that all processes of the fleet share.
	Peers string `yaml:"peers,omitempty"`
	// Operators is the file with the token of the operators.
	Operators string `yaml:"operators,omitempty"`
	// TrustedNetwork is set if only processes of the fleet can reach the links, so that they
	// need no token.
	TrustedNetwork bool `yaml:"trusted_network,omitempty"`
}

// Entry is the section of the entry role.
type Entry struct {
	// Callers is the address of the callers' listener.
	Callers string `yaml:"callers" check:"required"`
	// Links is the address at which other entries use this one as a relay.
	Links string `yaml:"links,omitempty"`
	// Upstream are control replicas or relays, tried in order.
	Upstream []string `yaml:"upstream" check:"required"`
	// Peers are processes of the site that are asked when control is unreachable.
	Peers []string `yaml:"peers,omitempty"`
	// Platform is the address of the platform's list of VMs.
	Platform string `yaml:"platform,omitempty"`
}

// Agent is the section of the agent role.
type Agent struct {
	// Server is the name of its backend server in the settings.
	Server string `yaml:"server" check:"required"`
	// Links is the address at which entries connect to the agent.
	Links string `yaml:"links" check:"required"`
	// Engine and Service are addresses on the VM; exactly one of them is set.
	Engine  string `yaml:"engine,omitempty"`
	Service string `yaml:"service,omitempty"`
}

// Control is the section of the control role.
type Control struct {
	// Links is the address at which replicas and relays connect.
	Links string `yaml:"links" check:"required"`
	// Members are the addresses of the first replicas by name.
	Members map[string]string `yaml:"members,omitempty"`
	// Discovery is set in place of Members if the replicas discover each other.
	Discovery *Discovery `yaml:"discovery,omitempty"`
	// API is the address at which servers register and operators upload routing tables.
	API string `yaml:"api,omitempty"`
	// Engines configures how the leader assigns roles to the engines that gateways use.
	Engines Engines   `yaml:"engines,omitempty"`
	Quota   Quota     `yaml:"quota,omitempty"`
	Upgrade Upgrade   `yaml:"upgrade,omitempty"`
	Cold    ColdLimit `yaml:"cold,omitempty"`
}

// ColdLimit limits the requests to cold servers, relative to the rate of their service: in any
// second, all gateways together may send one cold server at most the rate times Overshoot, plus
// Slack requests.
type ColdLimit struct {
	Overshoot float64 `yaml:"overshoot,omitempty" check:"min=0,max=100"`
	Slack     float64 `yaml:"slack,omitempty" check:"min=0,max=100000"`
}

// Engines configures how engines are assigned their roles.
type Engines struct {
	// PrefillShare is the share of prefill engines before there is any load.
	PrefillShare float64 `yaml:"prefill_share,omitempty" check:"min=0,max=1"`
	// OrderLease is the time that must pass between the orders of two leaders.
	OrderLease strict.Duration `yaml:"order_lease,omitempty" check:"min=0,max=3600000000000"`
}

// DefaultEngines is used if the file sets none of the values.
var DefaultEngines = Engines{PrefillShare: 0.33, OrderLease: strict.Duration(3 * time.Second)}

// Upgrade configures how the fleet version rises.
type Upgrade struct {
	// After is the time for which all members of control must have reported that they support the
	// next version before the fleet version rises automatically. With zero, operators raise it.
	After *strict.Duration `yaml:"after,omitempty" check:"min=0,max=604800000000000"`
}

// DefaultUpgradeAfter is used if the file sets no time. It equals DefaultDrain, the time for which
// the last process of the old build may still be ending its streams: only afterwards can the new
// build be observed serving all requests alone. Until the version rises, a rollback only requires
// the old build to be started again.
const DefaultUpgradeAfter = DefaultDrain

// AfterOrDefault returns After, or DefaultUpgradeAfter if it is not set.
func (u Upgrade) AfterOrDefault() time.Duration {
	if u.After == nil {
		return DefaultUpgradeAfter
	}
	return u.After.D()
}

// Discovery configures how control replicas discover each other.
type Discovery struct {
	// Seeds are addresses of some replicas. Only the IP numbers count: links
	// use the same port on all VMs.
	Seeds []string `yaml:"seeds" check:"required"`
	// Found is set if a seed with an empty data folder may create the group.
	Found bool `yaml:"found,omitempty"`
	// Tolerate is the number of replicas that may be lost at once.
	Tolerate int `yaml:"tolerate,omitempty" check:"min=0,max=4"`
}

// Gateway is the section of the gateway role.
type Gateway struct {
	// Callers is the address of the callers' listener, Ready the one of the readiness check
	// of the load balancer.
	Callers string `yaml:"callers" check:"required"`
	Ready   string `yaml:"ready" check:"required"`
	// Seeds are addresses of some control replicas; links use LinksPort there.
	Seeds     []string   `yaml:"seeds" check:"required"`
	LinksPort int        `yaml:"links_port" check:"required,min=1,max=65535"`
	Retry     Retry      `yaml:"retry,omitempty"`
	Quota     Quota      `yaml:"quota,omitempty"`
	Held      HeldMemory `yaml:"held,omitempty"`
}

// HeldMemory limits the memory that a gateway uses for request bodies, answers and streams of
// callers. Without a limit on the memory of the process, there is none here.
type HeldMemory struct {
	// Share is the share of the process's memory; Organisation is the share of it that the
	// requests of one organisation may use.
	Share        float64 `yaml:"share,omitempty" check:"min=0,max=0.7"`
	Organisation float64 `yaml:"organisation,omitempty" check:"min=0,max=1"`
}

// DefaultHeldMemory is used for the values that the file doesn't set.
var DefaultHeldMemory = HeldMemory{Share: 0.4, Organisation: 0.5}

// withDefaults returns h with the defaults for the values that the file doesn't set.
func (h HeldMemory) withDefaults() HeldMemory {
	if h.Share == 0 {
		h.Share = DefaultHeldMemory.Share
	}
	if h.Organisation == 0 {
		h.Organisation = DefaultHeldMemory.Organisation
	}
	return h
}

// Quota is the tolerance for the use of the limits of organisations; gateways and control use the
// same values. In no Window may the use exceed the limit by more than the share Overshoot plus
// Slack units.
type Quota struct {
	Window    strict.Duration `yaml:"window,omitempty" check:"min=0,max=3600000000000"`
	Overshoot float64         `yaml:"overshoot,omitempty" check:"min=0,max=1"`
	Slack     float64         `yaml:"slack,omitempty" check:"min=0,max=1000000000"`
}

// Retry limits the sends after the first one of each request, for all gateways together.
type Retry struct {
	// Ratio is the share of the requests; Slack is the constant number in each Window.
	Ratio  float64         `yaml:"ratio,omitempty" check:"min=0,max=10"`
	Slack  float64         `yaml:"slack,omitempty" check:"min=0,max=100000"`
	Window strict.Duration `yaml:"window,omitempty" check:"min=0,max=3600000000000"`
}

// DefaultRetry is used if the file sets no window.
var DefaultRetry = Retry{Ratio: 0.1, Slack: 10, Window: strict.Duration(10 * time.Second)}

// Roles of a process.
const (
	RoleEntry   = "entry"
	RoleAgent   = "agent"
	RoleControl = "control"
	RoleGateway = "gateway"
)

// DefaultDrain is used if the file sets no drain time.
const DefaultDrain = 10 * time.Minute

// Load reads and checks a file. It also returns the text of the file.
func Load(path string) (*File, []byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.InvalidConfig, fault.StepConfig, path)
	}
	f, err := Parse(path, data)
	return f, data, err
}

// Parse checks the text of a file and sets the defaults.
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
