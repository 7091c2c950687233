package dispatch

import "time"

// Budget bounds the repeated sends of requests to one service. The bound holds for all
// gateways together in each sliding window, so each gateway uses the share of its own
// requests and its share of the constant.
type Budget struct {
	// Ratio is the share of requests that may be sent once more.
	Ratio float64
	// Slack is the constant number of repeated sends of all gateways together.
	Slack float64
	// Window is the length of the window.
	Window time.Duration
	// Since is when this gateway started. An earlier process under the same name may have
	// used its share of the constant within the window.
	Since time.Time

	// counts holds requests as a and repeated sends as b.
	counts window
}

const (
	budgetBuckets = 20
	// budgetUse is the share of the bound that is used: gateways come and go, and some sends
	// are counted where this gateway doesn't see them.
	budgetUse = 0.7
	// newGatewayUse is the share of the constant that a gateway uses in its first window.
	newGatewayUse = 0.3
)

// window returns the counts. It creates them on first use.
func (b *Budget) window() *window {
	if b.counts.buckets == nil {
		b.counts = newWindow(budgetBuckets, b.Window/(budgetBuckets-1))
	}
	return &b.counts
}

// CountRequest counts a request.
func (b *Budget) CountRequest(now time.Time) { b.window().at(now).a++ }

// Spend counts repeated sends that could not be foreseen.
func (b *Budget) Spend(now time.Time, sends int) { b.window().at(now).b += sends }

// Take counts repeated sends if the budget allows all of them, and reports whether it does.
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
