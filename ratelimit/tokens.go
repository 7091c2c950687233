package ratelimit

import "time"

// TokenTTL is how long a token holds from its issue on: one that comes late holds for less.
const TokenTTL = 600 * time.Millisecond

// Token is what a token is told with.
type Token struct {
	// Owner is the replica that issued it, which gets it back if there is no use for it.
	Owner string
	// Spare tells that nobody waits for it, so that it is not given back.
	Spare bool
}

// batch is some tokens that end together.
type batch struct {
	Token
	tokens    int
	expiresAt time.Time
}

// batches are tokens, in the order in which they came.
type batches []batch

// live drops what has ended and returns the number of the others.
func (b *batches) live(now time.Time) int {
	n, kept := 0, (*b)[:0]
	for _, t := range *b {
		if t.tokens > 0 && now.Before(t.expiresAt) {
			kept = append(kept, t)
			n += t.tokens
		}
	}
	*b = kept
	return n
}

// add adds tokens to those that came before.
func (b *batches) add(t batch) {
	if n := len(*b); n > 0 && (*b)[n-1].Token == t.Token && (*b)[n-1].expiresAt.Equal(t.expiresAt) {
		(*b)[n-1].tokens += t.tokens
		return
	}
	*b = append(*b, t)
}

// take takes the token that ends first; false if there is none.
func (b *batches) take(now time.Time) (batch, bool) {
	if b.live(now) == 0 {
		return batch{}, false
	}
	first := 0
	for i, t := range *b {
		if t.expiresAt.Before((*b)[first].expiresAt) {
			first = i
		}
	}
	(*b)[first].tokens--
	out := (*b)[first]
	out.tokens = 1
	return out, true
}

// Allowance is what one gateway may send to one limited server. The zero value allows nothing.
type Allowance struct {
	tokens batches
	// fallbackRate is the part of the rate that the gateway may use by itself while it gets no
	// tokens, fallbackTokens what has come of that since levelAt.
	fallbackRate, fallbackTokens float64
	fallbackAt                   time.Time
	// owed are requests that were sent without a token.
	debt int
}

// Grant adds tokens that hold for a time.
func (a *Allowance) Grant(now time.Time, t Token, tokens int, d time.Duration) {
	a.tokens.live(now)
	paid := min(a.debt, tokens)
	a.debt -= paid
	a.tokens.add(batch{t, tokens - paid, now.Add(min(d, TokenTTL))})
}

// ForceTake counts a request that was sent without asking: a token pays for it, or the next one does.
func (a *Allowance) ForceTake(now time.Time) {
	if !a.Take(now) {
		a.debt++
	}
}

// ReleaseSurplus takes back the tokens that are not spare and for which no requests are expected, where
// so many come a second.
func (a *Allowance) ReleaseSurplus(now time.Time, rate float64) []Release {
	surplus := a.tokens.live(now) - expectedRequests(rate)
	var out []Release
	for i := range a.tokens {
		t := &a.tokens[i]
		if n := min(surplus, t.tokens); n > 0 && !t.Spare {
			t.tokens -= n
			surplus -= n
			out = append(out, Release{Owner: t.Owner, Tokens: n, TTL: t.expiresAt.Sub(now)})
		}
	}
	return out
}

// expected is how many requests are sure to come while a token holds, where so many come a
// second.
func expectedRequests(rate float64) int { return int(rate * TokenTTL.Seconds()) }

// Release is tokens that are given back.
type Release struct {
	Owner, Server string
	Tokens        int
	// TTL is how long they would have held.
	TTL time.Duration
}

// SetFallbackRate takes the requests a second that the gateway may send without tokens: zero while
// somebody issues them.
func (a *Allowance) SetFallbackRate(now time.Time, rate float64) {
	a.refill(now)
	if rate <= 0 {
		a.fallbackTokens = 0
	}
	a.fallbackRate = rate
}

// settle counts what has come of the gateway's own part, which is one request at most.
func (a *Allowance) refill(now time.Time) {
	if a.fallbackRate > 0 {
		a.fallbackTokens = min(a.fallbackTokens+a.fallbackRate*now.Sub(a.fallbackAt).Seconds(), 1)
	}
	a.fallbackAt = now
}

// Allows tells whether one more request may be sent now.
func (a *Allowance) Allows(now time.Time) bool {
	a.refill(now)
	return a.tokens.live(now) > 0 || a.fallbackTokens >= 1
}

// Take counts a request; false if none may be sent.
func (a *Allowance) Take(now time.Time) bool {
	if _, ok := a.tokens.take(now); ok {
		return true
	}
	a.refill(now)
	if a.fallbackTokens < 1 {
		return false
	}
	a.fallbackTokens--
	return true
}
