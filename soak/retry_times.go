package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Bounds of the times after which callers that find no capacity are told to retry.
const (
	minRetryTime = 500 * time.Millisecond
	maxRetryTime = 4500 * time.Millisecond
	// retryInterval is the time in which refusals and returns are counted. From minRefusals on, the
	// most returns in it are at most maxReturnRatio of the most refusals.
	retryInterval  = 250 * time.Millisecond
	minRefusals    = 20
	maxReturnRatio = 0.8
	// noCapacity is the reason of a refusal for lack of capacity at engines.
	noCapacity = "no engine has room\n"
)

// parseRetryAfter returns the time that a refusal names. It returns false if it is unreadable.
func parseRetryAfter(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	return time.Duration(seconds * float64(time.Second)), err == nil && seconds > 0
}

// checkRetryTimes checks that refusals for lack of capacity name a readable time within its bounds,
// unless engines requested pauses, and that callers that are refused together are told to return at
// different times. That such requests did not run is checked by checkNotRun.
func checkRetryTimes(h *History) []string {
	var out []string
	var refused, returns []time.Duration
	for _, q := range h.Requests {
		if q.Status != http.StatusServiceUnavailable || q.Body != noCapacity || h.enginePaused(q.Sent, q.Ended) {
			continue
		}
		after, ok := parseRetryAfter(q.RetryAfter)
		if !ok || after < minRetryTime || after > maxRetryTime {
			out = append(out, fmt.Sprintf("%s was told to retry after %q", q.ID, q.RetryAfter))
			continue
		}
		refused, returns = append(refused, q.Ended), append(returns, q.Ended+after)
	}
	most, mostReturns := peak(refused, retryInterval), peak(returns, retryInterval)
	if most >= minRefusals && float64(mostReturns) > maxReturnRatio*float64(most) {
		out = append(out, fmt.Sprintf("%d callers were told to return within %v, at most %d were refused within it", mostReturns, retryInterval, most))
	}
	return out
}

// enginePaused reports whether a pause that an engine had requested lasted in a time span.
func (h *History) enginePaused(from, to time.Duration) bool {
	return slices.ContainsFunc(h.Asked, func(a SelfReportArrival) bool {
		return a.Pause > 0 && strings.HasPrefix(a.Server, engineService) && a.At <= to && a.At+a.Pause >= from
	})
}

// peak returns the largest number of times within a time span.
func peak(times []time.Duration, span time.Duration) int {
	most := 0
	for _, from := range times {
		most = max(most, countWithin(times, from, from+span))
	}
	return most
}
