package ratelimit

import "time"

// TokenTTL is how long a token is valid after its issue; one that arrives late is valid for less.
const TokenTTL = 600 * time.Millisecond

// Token describes a token that was issued.
type Token struct {
	// Owner is the replica that issued the token and gets it back if it isn't needed.
	Owner string
	// Spare marks a token that no request waits for, so that it isn't released.
	Spare bool
}

// batch is a number of tokens that expire together.
type batch struct {
	Token
	tokens    int
	expiresAt time.Time
}

// batches holds tokens in the order of their arrival.
type batches []batch

// live drops expired tokens and returns the number of the remaining ones.
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

// add appends tokens.
func (b *batches) add(t batch) {
	if n := len(*b); n > 0 && (*b)[n-1].Token == t.Token && (*b)[n-1].expiresAt.Equal(t.expiresAt) {
		(*b)[n-1].tokens += t.tokens
		return
	}
	*b = append(*b, t)
}

// take removes the token that expires first, and returns false if there is none.
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
	// fallbackRate is the share of the rate that the gateway may use while it gets no tokens;
	// fallbackTokens is what has accrued of it up to fallbackAt.
	fallbackRate, fallbackTokens float64
	fallbackAt                   time.Time
	// debt is the number of requests that were sent without a token.
	debt int
}

// Grant adds tokens that are valid for d.
func (a *Allowance) Grant(now time.Time, t Token, tokens int, d time.Duration) {
	a.tokens.live(now)
	paid := min(a.debt, tokens)
	a.debt -= paid
	a.tokens.add(batch{t, tokens - paid, now.Add(min(d, TokenTTL))})
}

// ForceTake counts a request that was sent without asking: it takes a token, or the next one
// granted.
func (a *Allowance) ForceTake(now time.Time) {
	if !a.Take(now) {
		a.debt++
	}
}

// ReleaseSurplus removes and returns the tokens that aren't spare and for which no requests are
// expected at the given rate of requests per second.
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

// expectedRequests returns how many requests are sure to arrive while a token is valid, at the
// given rate per second.
func expectedRequests(rate float64) int { return int(rate * TokenTTL.Seconds()) }

// Release holds tokens that are returned to their owner.
type Release struct {
	Owner, Server string
	Tokens        int
	// TTL is how much longer the tokens would have been valid.
	TTL time.Duration
}

// SetFallbackRate sets the requests per second that the gateway may send without tokens; zero while
// tokens are issued.
func (a *Allowance) SetFallbackRate(now time.Time, rate float64) {
	a.refill(now)
	if rate <= 0 {
		a.fallbackTokens = 0
	}
	a.fallbackRate = rate
}

// refill adds what has accrued of the gateway's fallback rate, up to one request.
func (a *Allowance) refill(now time.Time) {
	if a.fallbackRate > 0 {
		a.fallbackTokens = min(a.fallbackTokens+a.fallbackRate*now.Sub(a.fallbackAt).Seconds(), 1)
	}
	a.fallbackAt = now
}

// Allows reports whether one more request may be sent now.
func (a *Allowance) Allows(now time.Time) bool {
	a.refill(now)
	return a.tokens.live(now) > 0 || a.fallbackTokens >= 1
}

// Take counts a request, and returns false if none may be sent.
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
