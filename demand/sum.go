package demand

import (
	"cmp"
	"iter"
	"slices"
)

// Add returns the sums by class of two lists, ordered by key. It changes neither list. Before is
// not added up, since it has a meaning only for one gateway.
func Add(a, b []Class) []Class { return combine(a, b, 1) }

// Total returns the sums by class of many lists, ordered by key.
func Total(lists iter.Seq[[]Class]) []Class {
	var out []Class
	for list := range lists {
		for i := range list {
			c := &list[i]
			at := slices.IndexFunc(out, func(o Class) bool { return o.compare(c) == 0 })
			if at < 0 {
				at = len(out)
				out = append(out, c.Key().class())
			}
			out[at].add(c, 1)
		}
	}
	out = slices.DeleteFunc(out, func(c Class) bool { return c.empty() })
	sortClasses(out)
	return out
}

// Subtract returns a without b, ordered by key, without the classes in which nothing remains.
func Subtract(a, b []Class) []Class { return combine(a, b, -1) }

// combine merges two lists. Replicas do that for each gateway many times a second.
func combine(a, b []Class, sign int) []Class {
	a, b = sorted(a), sorted(b)
	out := make([]Class, 0, max(len(a), len(b)))
	keep := func(c Class) {
		if !c.empty() {
			out = append(out, c)
		}
	}
	for len(a) > 0 || len(b) > 0 {
		order := 0
		switch {
		case len(b) == 0:
			order = -1
		case len(a) == 0:
			order = 1
		default:
			order = a[0].compare(&b[0])
		}
		var c Class
		if order <= 0 {
			c, a = a[0], a[1:]
			c.Before, c.Returns = 0, slices.Clone(c.Returns)
		} else {
			c = b[0].Key().class()
		}
		if order >= 0 {
			c.add(&b[0], sign)
			b = b[1:]
		}
		keep(c)
	}
	return out
}

// sorted returns a list ordered by key: the list itself if it is already.
func sorted(list []Class) []Class {
	for i := 1; i < len(list); i++ {
		if list[i-1].compare(&list[i]) > 0 {
			list = slices.Clone(list)
			sortClasses(list)
			break
		}
	}
	return list
}

// compare orders classes by key.
func (c *Class) compare(o *Class) int {
	switch {
	case c.Service != o.Service:
		return cmp.Compare(c.Service, o.Service)
	case c.Organisation != o.Organisation:
		return cmp.Compare(c.Organisation, o.Organisation)
	}
	return cmp.Compare(c.Route, o.Route)
}

// add adds o to c, or subtracts it if sign is negative.
func (c *Class) add(o *Class, sign int) {
	c.Waiting += sign * o.Waiting
	c.WaitingTokens += sign * o.WaitingTokens
	c.Rate += sign * o.Rate
	c.Tokens += sign * o.Tokens
	c.PromptTokens += sign * o.PromptTokens
	c.PrefillTime += sign * o.PrefillTime
	c.KVTokens += sign * o.KVTokens
	c.Served += sign * o.Served
	for i, n := range o.Returns {
		if i == len(c.Returns) {
			c.Returns = append(c.Returns, 0)
		}
		c.Returns[i] += sign * n
	}
	for len(c.Returns) > 0 && c.Returns[len(c.Returns)-1] == 0 {
		c.Returns = c.Returns[:len(c.Returns)-1]
	}
}

// empty reports whether a class has nothing to report.
func (c *Class) empty() bool {
	return c.Waiting == 0 && c.WaitingTokens == 0 && c.Rate == 0 && c.Tokens == 0 && c.PromptTokens == 0 && c.Served == 0 && len(c.Returns) == 0
}

// Find returns the class with a key, empty if the list has none.
func Find(list []Class, k Key) Class {
	for i := range list {
		c := &list[i]
		if c.Route == k.Urgency.Route && c.Organisation == k.Urgency.Organisation && c.Service == k.Service {
			return *c
		}
	}
	return k.class()
}

// Waiting returns the number of all waiting requests of a list.
func Waiting(list []Class) int {
	n := 0
	for _, c := range list {
		n += c.Waiting
	}
	return n
}

// rateDivisor determines which changes of a rate matter: those above 1/rateDivisor of the rate
// that was sent.
const rateDivisor = 4

// Change is how much a list differs from the one that was sent before.
type Change int

const (
	// Same means that the lists are equal, or that rates differ by less than a quarter.
	Same Change = iota
	// Rates means that only rates differ, by more than a quarter.
	Rates
	// Waits means that the waiting requests or the promised retries differ.
	Waits
)

// Compare returns how much a list differs from the one that was sent. Both are ordered by key.
func Compare(sent, list []Class) Change {
	out := Same
	for _, k := range keys(sent, list) {
		a, b := Find(sent, k), Find(list, k)
		if a.Waiting != b.Waiting || a.WaitingTokens != b.WaitingTokens || a.Before != b.Before || !slices.Equal(a.Returns, b.Returns) {
			return Waits
		}
		if rateChanged(a.Rate, b.Rate) || rateChanged(a.Tokens, b.Tokens) || rateChanged(a.PromptTokens, b.PromptTokens) ||
			rateChanged(a.PrefillTime, b.PrefillTime) || rateChanged(a.KVTokens, b.KVTokens) || rateChanged(a.Served, b.Served) {
			out = Rates
		}
	}
	return out
}

func rateChanged(sent, rate int) bool { return rateDivisor*max(rate-sent, sent-rate) > sent }

// keys returns the keys of both lists.
func keys(a, b []Class) []Key {
	var out []Key
	for _, c := range slices.Concat(a, b) {
		if !slices.Contains(out, c.Key()) {
			out = append(out, c.Key())
		}
	}
	return out
}
