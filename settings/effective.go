package settings

import (
	"fmt"
	"time"

	"github.com/ledgepin/ledgepin/strict"
)

// Level is a level of the tree; it names the one from which a value comes.
type Level string

// The levels, from the highest to the lowest.
const (
	LevelDefault Level = "default"
	LevelFleet   Level = "fleet"
	LevelSite    Level = "site"
	LevelPool    Level = "pool"
	LevelModel   Level = "model"
)

// Effective holds the limits in force at a level: Limits with every value set.
type Effective struct {
	MaxPromptTokens int
	MaxOutputTokens int
	QueueLimit      int
	OpenLimit       int
	RetryPercent    int
	LeaseTime       time.Duration
	KVHold          time.Duration
	StallAfter      time.Duration
	LinkRate        int64
	Slots           int
	WeightRate      int64
}

// DefaultLimits returns the limits that the fleet level inherits.
func DefaultLimits() Limits {
	return Limits{
		MaxPromptTokens: ptr(131072),
		MaxOutputTokens: ptr(4096),
		QueueLimit:      ptr(1000),
		OpenLimit:       ptr(200),
		RetryPercent:    ptr(10),
		LeaseTime:       ptr(strict.Duration(5 * time.Second)),
		KVHold:          ptr(strict.Duration(5 * time.Second)),
		StallAfter:      ptr(strict.Duration(time.Second)),
		LinkRate:        ptr(strict.Bytes(3e9)),
		Slots:           ptr(64),
		WeightRate:      ptr(strict.Bytes(2e9)),
	}
}

func ptr[T any](v T) *T { return &v }

type layer struct {
	level  Level
	limits Limits
}

// layers lists the limits of each level down to the named one, the highest first. Names that are
// empty or not in the tree add no layer.
func (t *Tree) layers(site, pool, model string) []layer {
	out := []layer{{LevelDefault, DefaultLimits()}, {LevelFleet, t.Fleet.Limits}}
	s, ok := t.Fleet.Sites[site]
	if !ok {
		return out
	}
	out = append(out, layer{LevelSite, s.Limits})
	p, ok := s.Pools[pool]
	if !ok {
		return out
	}
	out = append(out, layer{LevelPool, p.Limits})
	if m, ok := p.Models[model]; ok {
		out = append(out, layer{LevelModel, m.Limits})
	}
	return out
}

// EffectiveAt returns the limits in force for a site, pool and model. An empty name ends the
// inheritance at the level above.
func (t *Tree) EffectiveAt(site, pool, model string) Effective {
	var e Effective
	for _, l := range t.layers(site, pool, model) {
		e.apply(l.limits)
	}
	return e
}

func (e *Effective) apply(l Limits) {
	setIfPresent(&e.MaxPromptTokens, l.MaxPromptTokens)
	setIfPresent(&e.MaxOutputTokens, l.MaxOutputTokens)
	setIfPresent(&e.QueueLimit, l.QueueLimit)
	setIfPresent(&e.OpenLimit, l.OpenLimit)
	setIfPresent(&e.RetryPercent, l.RetryPercent)
	setIfPresent(&e.LeaseTime, (*time.Duration)(l.LeaseTime))
	setIfPresent(&e.KVHold, (*time.Duration)(l.KVHold))
	setIfPresent(&e.StallAfter, (*time.Duration)(l.StallAfter))
	setIfPresent(&e.LinkRate, (*int64)(l.LinkRate))
	setIfPresent(&e.Slots, l.Slots)
	setIfPresent(&e.WeightRate, (*int64)(l.WeightRate))
}

func setIfPresent[T any](dst *T, src *T) {
	if src != nil {
		*dst = *src
	}
}

// Value is a limit in force, with the level from which it comes.
type Value struct {
	Name  string
	Value string
	From  Level
}

// Explain lists the limits in force for a site, pool and model, with the level of each.
func (t *Tree) Explain(site, pool, model string) []Value {
	var out []Value
	at := map[string]int{}
	for _, l := range t.layers(site, pool, model) {
		for _, f := range l.limits.fields() {
			i, ok := at[f.Name]
			if !ok {
				i = len(out)
				at[f.Name] = i
				out = append(out, Value{})
			}
			out[i] = Value{f.Name, f.Value, l.level}
		}
	}
	return out
}

// fields lists the values that are set, in the order of the struct.
func (l Limits) fields() []Value {
	var out []Value
	add := func(name string, isSet bool, text func() string) {
		if isSet {
			out = append(out, Value{Name: name, Value: text()})
		}
	}
	add("max_prompt_tokens", l.MaxPromptTokens != nil, func() string { return fmt.Sprint(*l.MaxPromptTokens) })
	add("max_output_tokens", l.MaxOutputTokens != nil, func() string { return fmt.Sprint(*l.MaxOutputTokens) })
	add("queue_limit", l.QueueLimit != nil, func() string { return fmt.Sprint(*l.QueueLimit) })
	add("open_limit", l.OpenLimit != nil, func() string { return fmt.Sprint(*l.OpenLimit) })
	add("retry_percent", l.RetryPercent != nil, func() string { return fmt.Sprint(*l.RetryPercent) })
	add("lease_time", l.LeaseTime != nil, func() string { return l.LeaseTime.String() })
	add("kv_hold", l.KVHold != nil, func() string { return l.KVHold.String() })
	add("stall_after", l.StallAfter != nil, func() string { return l.StallAfter.String() })
	add("link_rate", l.LinkRate != nil, func() string { return l.LinkRate.String() })
	add("slots", l.Slots != nil, func() string { return fmt.Sprint(*l.Slots) })
	add("weight_rate", l.WeightRate != nil, func() string { return l.WeightRate.String() })
	return out
}
