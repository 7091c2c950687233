package demand

import "time"

// Engines have two roles, prefill and decode, and their division has to follow the work within
// seconds, before a burst. Tokens of prompts and answers don't show the work, because engines
// take different times for them, and reservations don't show it, because they exclude rejected
// requests and grow for as long as the first runs take.

// ratioDecay is the factor by which the weight of earlier samples decreases with each one.
const ratioDecay = 0.95

// ratio is the average time for a token, weighted by tokens.
type ratio struct{ time, tokens float64 }

func (r *ratio) add(took time.Duration, tokens float64) {
	if took >= 0 && tokens > 0 {
		r.time = ratioDecay*r.time + float64(took)
		r.tokens = ratioDecay*r.tokens + tokens
	}
}

// EngineTimes measures how long engines of a service take for prompts and answers. The zero value
// is ready for use.
type EngineTimes struct{ prompt, answer ratio }

// NotePrefill records a prefill that took a time for a number of queued tokens, uncached of which
// belong to the request, whose prompt has the given length.
func (t *EngineTimes) NotePrefill(took time.Duration, queued, uncached, prompt int) {
	share := min(float64(uncached)/float64(max(queued, 1)), 1)
	t.prompt.add(time.Duration(share*float64(took)), float64(prompt))
}

// NoteAnswer records the time that an engine took for a part of an answer, or for an answer that was
// expected to have a number of tokens.
func (t *EngineTimes) NoteAnswer(took time.Duration, tokens int) { t.answer.add(took, float64(tokens)) }

// AddWork sets the work of a class whose rates are set. It sets none while one of the times is not
// known: then the ratio of the work for both roles is correct in the sum of all gateways.
func (t *EngineTimes) AddWork(c *Class) {
	if t == nil || t.prompt.tokens == 0 || t.answer.tokens == 0 || c.Rate <= 0 {
		return
	}
	prefill := float64(c.PromptTokens) * t.prompt.time / t.prompt.tokens
	decode := float64(max(c.Tokens-c.PromptTokens, 0)) * t.answer.time / t.answer.tokens
	requests := float64(c.Rate) / 1000
	c.PrefillTime = int(prefill / float64(time.Microsecond))
	c.KVTokens = int(float64(c.Tokens) * (prefill + decode) / requests / float64(time.Second))
}
