package settings

import "github.com/ledgepin/ledgepin/strict"

// Tree holds all settings of the fleet.
type Tree struct {
	// Fleet is the root of the tree.
	Fleet Fleet `yaml:"fleet" check:"required"`
}

// Limits are the values that each level inherits from the level above. A nil value is inherited.
type Limits struct {
	// MaxPromptTokens is the longest prompt; longer ones are refused.
	MaxPromptTokens *int `yaml:"max_prompt_tokens,omitempty" check:"min=1,max=10000000"`
	// MaxOutputTokens is the longest answer; a request for more is lowered to it.
	MaxOutputTokens *int `yaml:"max_output_tokens,omitempty" check:"min=1,max=1000000"`
	// QueueLimit is the largest number of requests that wait at one entry.
	QueueLimit *int `yaml:"queue_limit,omitempty" check:"min=1,max=1000000"`
	// OpenLimit is the largest number of open requests of one customer in the fleet, for each
	// unit of its share.
	OpenLimit *int `yaml:"open_limit,omitempty" check:"min=1,max=1000000"`
	// RetryPercent is the largest share of retries, in percent of the live traffic.
	RetryPercent *int `yaml:"retry_percent,omitempty" check:"min=0,max=100"`
	// LeaseTime is the time after the last contact with an entry for which its slots stay
	// reserved.
	LeaseTime *strict.Duration `yaml:"lease_time,omitempty" check:"min=100000000,max=60000000000"`
	// KVHold is the time for which an engine keeps the result of a prefill.
	KVHold *strict.Duration `yaml:"kv_hold,omitempty" check:"min=100000000,max=600000000000"`
	// StallAfter is the time without progress after which a transfer is aborted.
	StallAfter *strict.Duration `yaml:"stall_after,omitempty" check:"min=50000000,max=60000000000"`
	// LinkRate is the rate of a server's link for transfers, in bytes a second.
	LinkRate *strict.Bytes `yaml:"link_rate,omitempty" check:"min=1000000"`
	// Slots is the largest number of decode slots of one server that are used.
	Slots *int `yaml:"slots,omitempty" check:"min=1,max=10000"`
	// WeightRate is the rate at which one site may read from the weight store, in bytes a second.
	WeightRate *strict.Bytes `yaml:"weight_rate,omitempty" check:"min=1000000"`
}

// Fleet is the root level.
type Fleet struct {
	Limits    `yaml:",inline"`
	Models    map[string]Model    `yaml:"models,omitempty"`
	Classes   map[string]Class    `yaml:"classes,omitempty"`
	Customers map[string]Customer `yaml:"customers,omitempty"`
	Services  map[string]Service  `yaml:"services,omitempty"`
	Sites     map[string]Site     `yaml:"sites,omitempty"`
	Control   map[string]Control  `yaml:"control,omitempty"`
}

// Model describes one model of the fleet.
type Model struct {
	// Version is the version that its servers must run.
	Version string `yaml:"version" check:"required"`
	// Adapters are loaded together with the model.
	Adapters []string `yaml:"adapters,omitempty"`
	// Weights is the size of the model in the weight store.
	Weights strict.Bytes `yaml:"weights" check:"required"`
	// KVPerToken is the size of the KV cache of one token, in bytes.
	KVPerToken strict.Bytes `yaml:"kv_per_token" check:"required"`
}

// Class describes a kind of request and its latency targets.
type Class struct {
	// Priority orders the classes; 0 is the highest priority.
	Priority int `yaml:"priority" check:"min=0,max=9"`
	// TTFT is the target for the time to the first token.
	TTFT strict.Duration `yaml:"ttft" check:"required,min=1000000,max=3600000000000"`
	// TBT is the target for the time between tokens.
	TBT strict.Duration `yaml:"tbt" check:"required,min=1000000,max=60000000000"`
	// KeepWhenGone is set if requests continue after their caller has disconnected.
	KeepWhenGone bool `yaml:"keep_when_gone,omitempty"`
	// Once is set if requests with the same Idempotency-Key run at most once.
	Once bool `yaml:"once,omitempty"`
	// ClaimGroup is the service whose claim group keeps the keys; required if Once is set.
	ClaimGroup string `yaml:"claim_group,omitempty"`
}

// Customer is an organisation that sends requests.
type Customer struct {
	// Home is the site that keeps the customer's claims.
	Home string `yaml:"home,omitempty"`
	// Share is the weight of the customer against others; 1 if not set.
	Share int `yaml:"share,omitempty" check:"min=1,max=1000"`
	// Tokens are the bearer tokens of the customer's callers.
	Tokens []Token `yaml:"tokens,omitempty"`
}

// Token authenticates a caller as one of a customer, with a class.
type Token struct {
	// SHA256 is the hash of the bearer token, in lower-case hex.
	SHA256 string `yaml:"sha256" check:"required"`
	// Class is the class of the caller's requests.
	Class string `yaml:"class" check:"required"`
}

// Service is a plain HTTP service behind ledgepin.
type Service struct {
	// Once lists the path prefixes whose calls may not be repeated.
	Once []string `yaml:"once,omitempty"`
	// Timeout is the timeout of one call.
	Timeout strict.Duration `yaml:"timeout,omitempty" check:"min=1000000,max=600000000000"`
	// ClaimLifetime is the time for which a key and its answer are kept.
	ClaimLifetime strict.Duration `yaml:"claim_lifetime,omitempty" check:"min=1000000000,max=604800000000000"`
	// ClaimGroup lists, for each home site, the servers whose agents vote.
	ClaimGroup map[string][]string `yaml:"claim_group,omitempty"`
}

// Site is a location with its own link to the rest of the fleet.
type Site struct {
	Limits `yaml:",inline"`
	Region string          `yaml:"region,omitempty"`
	Zone   string          `yaml:"zone" check:"required"`
	Pools  map[string]Pool `yaml:"pools,omitempty"`
}

// The roles of a pool.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleService = "service"
)

// Pool is a set of servers with one role.
type Pool struct {
	Limits `yaml:",inline"`
	Role   string `yaml:"role" check:"required,oneof=prefill|decode|service"`
	// Service names the service of a service pool.
	Service string `yaml:"service,omitempty"`
	// Models are the models that each server of the pool has loaded.
	Models map[string]ModelLevel `yaml:"models,omitempty"`
	// Servers are the backend servers of the pool.
	Servers map[string]Server `yaml:"servers,omitempty"`
}

// ModelLevel is the lowest level: one model in one pool.
type ModelLevel struct {
	Limits `yaml:",inline"`
}

// Server is a backend server with the address of its agent.
type Server struct {
	// Agent is the IP number and port of the agent.
	Agent string `yaml:"agent" check:"required"`
}

// Control is a replica of the replicated log of control.
type Control struct {
	// Address is the IP number and port of its links.
	Address string `yaml:"address" check:"required"`
	// Zone is its availability zone.
	Zone string `yaml:"zone" check:"required"`
}
