package replay

import (
	"fmt"
	"os"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/ledgepin/ledgepin/route"
)

// Pattern is a load, the fleet that meets it, and what goes wrong.
type Pattern struct {
	// Why tells what the pattern is for.
	Why string `yaml:"why"`
	// Gateways is the number of gateways.
	Gateways int `yaml:"gateways"`
	// Prefill and Decode are the numbers of engines.
	Prefill int `yaml:"prefill"`
	Decode  int `yaml:"decode"`
	// Slots are the runs that an engine takes, KVTokens its memory.
	Slots    int `yaml:"slots"`
	KVTokens int `yaml:"kv_tokens"`
	// ReadRate is the number of prompt tokens that an engine reads in a millisecond;
	// Step the time of one token of each run, in milliseconds, and StepPerRun what each
	// further run adds to it.
	ReadRate   float64 `yaml:"read_rate"`
	Step       float64 `yaml:"step_ms"`
	StepPerRun float64 `yaml:"step_per_run_ms"`
	// Prompt and Answer are the mean numbers of tokens, Spread the standard deviation
	// of their logarithms, and Hint that of the callers' guesses of the answer.
	Prompt int     `yaml:"prompt"`
	Answer int     `yaml:"answer"`
	Spread float64 `yaml:"spread"`
	Hint   float64 `yaml:"hint"`
	// Target is the time to the first event.
	Target time.Duration `yaml:"target"`
	// Deadline is when a caller gives up.
	Deadline time.Duration `yaml:"deadline"`
	// Organisations is how many there are, each with the same limit; the first asks for
	// Hot times its part of the load while Hot says so.
	Organisations int `yaml:"organisations"`
	Hot           Hot `yaml:"hot"`
	// Load are the arrivals, one phase after the other.
	Load []Phase `yaml:"load"`
	// Faults are what goes wrong.
	Faults []Fault `yaml:"faults"`
}

// Phase is a time of a steady rate of arrivals.
type Phase struct {
	For time.Duration `yaml:"for"`
	// Rate is the number of new requests a second of all callers.
	Rate float64 `yaml:"rate"`
}

// Hot is a time in which one organisation sends several times its usual, beside what the
// others send.
type Hot struct {
	From  time.Duration `yaml:"from"`
	For   time.Duration `yaml:"for"`
	Times float64       `yaml:"times"`
}

// Fault is a time in which some decode engines fail requests just after they took them.
type Fault struct {
	From    time.Duration `yaml:"from"`
	For     time.Duration `yaml:"for"`
	Engines int           `yaml:"engines"`
	// Share is the share of requests that fail.
	Share float64 `yaml:"share"`
}

// Read reads a pattern from a file.
func Read(path string) (Pattern, error) {
	var p Pattern
	data, err := os.ReadFile(path)
	if err == nil {
		err = yaml.Unmarshal(data, &p)
	}
	if err != nil {
		return Pattern{}, fmt.Errorf("replay: %w", err)
	}
	return p, nil
}

func (p *Pattern) engine() *route.Engine {
	return &route.Engine{Slots: p.Slots, KVTokens: p.KVTokens, KVHold: time.Second, EventTokens: eventTokens}
}

// length is the time in which requests arrive.
func (p *Pattern) length() time.Duration {
	var out time.Duration
	for _, phase := range p.Load {
		out += phase.For
	}
	return out
}

// rate returns the arrivals a second at a time.
func (p *Pattern) rate(at time.Duration) float64 {
	for _, phase := range p.Load {
		if at < phase.For {
			return phase.Rate
		}
		at -= phase.For
	}
	return 0
}

// hot returns how much more than the rate comes at a time, as a part of it.
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
