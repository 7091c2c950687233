package dispatch

import "time"

// Budget bounds the sends beyond the first of each request to one service. The
// bound holds for all gateways together in each sliding window, so each of them
// uses its own requests' share and its part of the constant.
type Budget struct {
	// Ratio is the share of requests that may be sent once more.
	Ratio float64
	// Slack is the constant part of all gateways together.
	Slack float64
	// Window is the length of the window.
	Window time.Duration
	// Since is when this gateway started. One that was there before it under the
	// same name may have used its part of the constant within the window.
	Since time.Time

	// sends counts requests, and sends beyond the first of each.
	counts window
}

const (
	budgetBuckets = 20
	// budgetUse is the part of the bound that is used: gateways come and go,
	// and some sends are counted where this gateway does not see them.
	budgetUse = 0.7
	// freshUse is the part of the constant that a gateway uses in its first
	// window.
	newGatewayUse = 0.3
)

// window returns the counts, which begin with the first use.
func (b *Budget) window() *window {
	if b.counts.buckets == nil {
		b.counts = newWindow(budgetBuckets, b.Window/(budgetBuckets-1))
	}
	return &b.counts
}

// Request counts a request.
func (b *Budget) CountRequest(now time.Time) { b.window().at(now).a++ }

// Spend counts sends that could not be foreseen.
func (b *Budget) Spend(now time.Time, sends int) { b.window().at(now).b += sends }

// Take counts further sends if all of them are allowed.
func (b *Budget) Take(now time.Time, gateways, sends int) bool {
	newest := b.window().at(now)
	requests, extra := b.window().sum(now)
	slack := b.Slack / float64(max(gateways, 1))
	if now.Sub(b.Since) < b.Window {
		slack *= newGatewayUse
	}
	allowed := budgetUse * (b.Ratio*float64(requests) + slack)
	if float64(extra+sends) > allowed {
		return false
	}
	newest.b += sends
	return true
}
