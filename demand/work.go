package demand

import "time"

// Engines have two roles, prefill and decode, and their division has to follow the work within
// seconds, before a burst. Tokens of prompts and answers don't show the work, because engines
// take different times for them, and reservations don't show it, because they exclude rejected
// requests and grow for as long as the first runs take.

// ratioDecay is the factor by which the weight of earlier samples decreases with each one.
const ratioDecay = 0.95

// ratio is the average of a value for each token, weighted by tokens.
type ratio struct{ value, tokens float64 }

func (r *ratio) add(value, tokens float64) {
	if value >= 0 && tokens > 0 {
		r.value = ratioDecay*r.value + value
		r.tokens = ratioDecay*r.tokens + tokens
	}
}

func (r *ratio) mean() float64 { return r.value / r.tokens }

// EngineTimes measures what engines of a service process of prompts, and how long they take for
// answers. The zero value is ready for use.
type EngineTimes struct{ uncached, answer ratio }

// NotePrefill records a prefill of a prompt of which the engine had not cached a number of tokens.
// The time that it took doesn't count: an engine processes several prompts at a time, so it is up
// to a multiple of the time for one.
func (t *EngineTimes) NotePrefill(uncached, prompt int) {
	t.uncached.add(float64(uncached), float64(prompt))
}

// NoteAnswer records the time that an engine took for a part of an answer, or for an answer that was
// expected to have a number of tokens.
func (t *EngineTimes) NoteAnswer(took time.Duration, tokens int) {
	t.answer.add(float64(took), float64(tokens))
}

// AddWork sets the work of a class whose rates are set, by the rate of prefill engines in tokens a
// millisecond. It sets none while something is not known: then the ratio of the work for both roles
// is correct in the sum of all gateways.
func (t *EngineTimes) AddWork(c *Class, prefillRate float64) {
	if t == nil || t.uncached.tokens == 0 || t.answer.tokens == 0 || c.Rate <= 0 || prefillRate <= 0 {
		return
	}
	prefill := float64(c.PromptTokens) * t.uncached.mean() / prefillRate * float64(time.Millisecond)
	decode := float64(max(c.Tokens-c.PromptTokens, 0)) * t.answer.mean()
	requests := float64(c.Rate) / 1000
	c.PrefillTime = int(prefill / float64(time.Microsecond))
	c.KVTokens = int(float64(c.Tokens) * (prefill + decode) / requests / float64(time.Second))
}
