package selfreport

import "time"

// Constants of pauses and of the return after them.
const (
	// MaxPause bounds the pause that a server can request: one that requests years by mistake
	// is tried again.
	MaxPause = time.Hour
	// minReportedExtension is the shortest extension of a pause that counts as a change:
	// rejections of requests that were under way together extend the pause by some milliseconds
	// each.
	minReportedExtension = 500 * time.Millisecond
	// rampTime is the time after a pause in which a gateway raises the number of requests
	// that it has open at the server.
	rampTime = 2 * time.Second
	// initialRequests is the number of open requests that a gateway allows until one is
	// served; from maxRampRequests on there is no bound.
	initialRequests = 1
	maxRampRequests = 32
	// spreadPerGateway is the delay between two gateways that return one after the other;
	// maxSpread bounds the delay over all of them.
	spreadPerGateway = 10 * time.Millisecond
	maxSpread        = 2 * time.Second
)

// Pause is a pause without requests that a server has requested from this gateway, by the
// Retry-After of its rejections, and how the gateway returns afterwards. The zero value is no
// pause.
type Pause struct {
	// until is the latest end that the server requested, resumeAt when this gateway sends
	// again.
	until, resumeAt time.Time
	// freeingSent is true once a call that frees something at the server was sent in the
	// pause.
	freeingSent bool
	// maxOpen bounds the number of open requests among those that began after the pause; zero
	// for no bound. open is their number.
	maxOpen, open int
}

// ReturnSpread returns the time over which gateways return to a server after a pause.
func ReturnSpread(gateways int, pause time.Duration) time.Duration {
	return min(time.Duration(max(gateways-1, 0))*spreadPerGateway, maxSpread, pause/2)
}

// Extend records that an answer, received at the given time, requests a pause of d; offset is
// how much later this gateway returns. A shorter pause doesn't end a longer one, since the
// server requested both. It reports whether the pause has begun or is much longer now.
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

// Active reports whether a requested pause is in progress.
func (p *Pause) Active(now time.Time) bool { return now.Before(p.until) }

// Remaining returns how long this gateway sends nothing to the server; zero if it may send.
func (p *Pause) Remaining(now time.Time) time.Duration { return max(p.resumeAt.Sub(now), 0) }

// AdmitCall reports whether a request or call may be sent now. One call that frees something
// may be sent in each pause: without it, the server would hold the resource for no caller.
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

// MayChoose reports whether the server may be chosen for one more request.
func (p *Pause) MayChoose(now time.Time) bool {
	return p.Remaining(now) == 0 && (!p.Ramping(now) || p.open < p.maxOpen)
}

// Ramping reports whether the number of open requests is bounded because a pause has ended
// recently.
func (p *Pause) Ramping(now time.Time) bool {
	return p.maxOpen > 0 && p.Remaining(now) == 0 && now.Sub(p.resumeAt) < rampTime
}

// BeginRequest counts a request for which the server was chosen.
func (p *Pause) BeginRequest(now time.Time) {
	if p.Ramping(now) {
		p.open++
	}
}

// RequestServed records that the server has served a request, which raises the bound. A
// failed request leaves the bound as it is.
func (p *Pause) RequestServed(now time.Time) {
	if !p.Ramping(now) {
		return
	}
	p.open = max(p.open-1, 0)
	if p.maxOpen *= 2; p.maxOpen >= maxRampRequests {
		p.maxOpen = 0
	}
}
