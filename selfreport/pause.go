package selfreport

import "time"

// Constants of pauses.
const (
	// LongestPause bounds the time for which a server is believed to want no requests: one
	// that names years by mistake is asked again.
	MaxPause = time.Hour
	// pauseNews is the least extension of a pause that is told as news: refusals of requests
	// that were under way together extend it by some milliseconds each.
	minReportedExtension = 500 * time.Millisecond
	// returnTime is the time after a pause in which a gateway raises the number of requests
	// that it has under way at the server.
	rampTime = 2 * time.Second
	// firstRequests is the number of requests that it has under way there until one is served,
	// and mostRequests that from which on there is no bound.
	initialRequests = 1
	maxRampRequests = 32
	// spreadEach is the time by which gateways come back one after the other, and
	// longestSpread the most for all of them together.
	spreadPerGateway = 10 * time.Millisecond
	maxSpread        = 2 * time.Second
)

// Pause is the time for which a server wants no requests of this gateway, by the Retry-After of
// its refusals, and how the gateway comes back afterwards. The zero value is none.
type Pause struct {
	// until is the latest end that was asked for, back when this gateway sends again.
	until, resumeAt time.Time
	// freed tells that a call which frees something was sent in the pause.
	freeingSent bool
	// allowed is the number of requests that may be under way of those that began after the
	// pause, zero for no bound; begun is how many are.
	maxOpen, open int
}

// Spread returns the time over which gateways come back to a server after a pause.
func ReturnSpread(gateways int, pause time.Duration) time.Duration {
	return min(time.Duration(max(gateways-1, 0))*spreadPerGateway, maxSpread, pause/2)
}

// Ask takes that an answer, heard at a time, asks for a pause; late is how much later this gateway
// comes back. A shorter one ends no longer one: both were asked for. It returns whether the pause
// has begun, or is much longer now.
func (p *Pause) Extend(received time.Time, d, offset time.Duration) bool {
	until := received.Add(min(d, MaxPause))
	if !until.After(p.until) {
		return false
	}
	begins := !received.Before(p.until)
	changed := begins || until.Sub(p.until) >= minReportedExtension
	p.freeingSent = p.freeingSent && !begins
	p.until, p.resumeAt = until, until.Add(offset)
	p.maxOpen, p.open = initialRequests, 0
	return changed
}

// Lasts tells whether the server wants nothing now.
func (p *Pause) Active(now time.Time) bool { return now.Before(p.until) }

// Left returns how long this gateway still stays away; zero if it does not.
func (p *Pause) Remaining(now time.Time) time.Duration { return max(p.resumeAt.Sub(now), 0) }

// Admits tells whether a request or call may be sent now. One call that frees something may be
// sent in a pause: what it frees would stay held for nobody.
func (p *Pause) AdmitCall(now time.Time, frees bool) bool {
	if !p.Active(now) {
		return true
	}
	if !frees || p.freeingSent {
		return false
	}
	p.freeingSent = true
	return true
}

// Allows tells whether the server may be chosen for one more request.
func (p *Pause) MayChoose(now time.Time) bool {
	return p.Remaining(now) == 0 && (!p.Ramping(now) || p.open < p.maxOpen)
}

// Returns tells whether the number of requests is bounded since a pause has ended.
func (p *Pause) Ramping(now time.Time) bool {
	return p.maxOpen > 0 && p.Remaining(now) == 0 && now.Sub(p.resumeAt) < rampTime
}

// Begin counts a request for which the server was chosen.
func (p *Pause) BeginRequest(now time.Time) {
	if p.Ramping(now) {
		p.open++
	}
}

// Served takes that the server has served a request. One that fails leaves the bound as it is.
func (p *Pause) RequestServed(now time.Time) {
	if !p.Ramping(now) {
		return
	}
	p.open = max(p.open-1, 0)
	if p.maxOpen *= 2; p.maxOpen >= maxRampRequests {
		p.maxOpen = 0
	}
}
