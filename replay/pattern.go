package replay

import (
	"fmt"
	"os"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/ledgepin/ledgepin/route"
)

// Pattern is a load, the fleet that serves it, and the faults of its engines.
type Pattern struct {
	// Why is the purpose of the pattern.
	Why string `yaml:"why"`
	// Gateways is the number of gateways.
	Gateways int `yaml:"gateways"`
	// Prefill and Decode are the numbers of engines.
	Prefill int `yaml:"prefill"`
	Decode  int `yaml:"decode"`
	// Slots is the maximum number of runs of an engine, KVTokens its memory.
	Slots    int `yaml:"slots"`
	KVTokens int `yaml:"kv_tokens"`
	// ReadRate is the number of prompt tokens that an engine prefills per millisecond. Step is the
	// time in which each run generates one token, in milliseconds, and StepPerRun what each run of
	// the engine adds to it.
	ReadRate   float64 `yaml:"read_rate"`
	Step       float64 `yaml:"step_ms"`
	StepPerRun float64 `yaml:"step_per_run_ms"`
	// Prompt and Answer are the mean numbers of tokens, Spread is the standard deviation of the
	// logarithm of the answer (half of it for the prompt), and Hint that of the callers' estimates
	// of the answer.
	Prompt int     `yaml:"prompt"`
	Answer int     `yaml:"answer"`
	Spread float64 `yaml:"spread"`
	Hint   float64 `yaml:"hint"`
	// Target is the target of the time to the first token, unless Kinds have their own.
	Target time.Duration `yaml:"target"`
	// Kinds are the kinds of requests; empty for a single one.
	Kinds []Kind `yaml:"kinds"`
	// Deadline is the time after its first try from which a caller no longer retries.
	Deadline time.Duration `yaml:"deadline"`
	// Organisations is the number of organisations, all with the same limit. The first sends
	// Hot.Times its usual load during the time of Hot.
	Organisations int `yaml:"organisations"`
	Hot           Hot `yaml:"hot"`
	// Load are the arrivals, in consecutive phases.
	Load []Phase `yaml:"load"`
	// Faults are the times in which engines fail requests.
	Faults []Fault `yaml:"faults"`
}

// Kind is a kind of requests, which have a route of their own.
type Kind struct {
	// Priority is the priority of the route.
	Priority int `yaml:"priority"`
	// Share is the share of the requests that are of this kind.
	Share float64 `yaml:"share"`
	// Target is the target of the time to the first token.
	Target time.Duration `yaml:"target"`
}

// Phase is a time with a constant rate of arrivals.
type Phase struct {
	For time.Duration `yaml:"for"`
	// Rate is the number of new requests per second of all callers.
	Rate float64 `yaml:"rate"`
}

// Hot is a time in which one organisation sends a multiple of its usual load, in addition to the
// load of the others.
type Hot struct {
	From  time.Duration `yaml:"from"`
	For   time.Duration `yaml:"for"`
	Times float64       `yaml:"times"`
}

// Fault is a time in which some decode engines fail requests right after they start.
type Fault struct {
	From    time.Duration `yaml:"from"`
	For     time.Duration `yaml:"for"`
	Engines int           `yaml:"engines"`
	// Share is the share of requests that fail.
	Share float64 `yaml:"share"`
}

// Read reads a pattern from a YAML file.
func Read(path string) (Pattern, error) {
	var p Pattern
	data, err := os.ReadFile(path)
	if err == nil {
		err = yaml.Unmarshal(data, &p)
	}
	if err != nil {
		return Pattern{}, fmt.Errorf("replay: read pattern: %w", err)
	}
	if len(p.Kinds) == 0 {
		p.Kinds = []Kind{{Share: 1, Target: p.Target}}
	}
	return p, nil
}

func (p *Pattern) engine() *route.Engine {
	return &route.Engine{Slots: p.Slots, KVTokens: p.KVTokens, KVHold: time.Second, EventTokens: eventTokens}
}

// length returns the time in which requests arrive.
func (p *Pattern) length() time.Duration {
	var out time.Duration
	for _, phase := range p.Load {
		out += phase.For
	}
	return out
}

// rate returns the number of arrivals per second at a time.
func (p *Pattern) rate(at time.Duration) float64 {
	for _, phase := range p.Load {
		if at < phase.For {
			return phase.Rate
		}
		at -= phase.For
	}
	return 0
}

// extraShare returns the additional load of the hot organisation at a time, as a share of the
// rate.
func (p *Pattern) extraShare(at time.Duration) float64 {
	if p.Organisations == 0 || at < p.Hot.From || at >= p.Hot.From+p.Hot.For {
		return 0
	}
	return (p.Hot.Times - 1) / float64(p.Organisations)
}

// failing returns the share of requests that a decode engine fails at a time.
func (p *Pattern) failing(at time.Duration, engine int) float64 {
	for _, f := range p.Faults {
		if at >= f.From && at < f.From+f.For && engine < f.Engines {
			return f.Share
		}
	}
	return 0
}
