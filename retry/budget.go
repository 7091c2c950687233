// Package retry bounds the cost of failures: a budget for retries that is a share of live traffic,
// the ejection of servers that keep failing, and pauses between attempts that would fail again.
//
// A number of retries per request multiplies the load just when servers fail. A shared budget keeps
// the extra load at a fixed share in all cases.
package retry

// Budget allows retries as a share of the requests that start. The zero value allows none.
type Budget struct {
	share  float64
	tokens float64
	spent  int
	denied int
}

// minTokens is the initial budget: it lets a small site retry a few requests before it has earned
// any share.
const minTokens = 10

// maxTokens bounds what is saved up while there are few failures.
const maxTokens = 100

// NewBudget returns a budget of percent retries per 100 requests.
func NewBudget(percent int) *Budget {
	return &Budget{share: float64(percent) / 100, tokens: minTokens}
}

// SetPercent changes the share.
func (b *Budget) SetPercent(percent int) { b.share = float64(percent) / 100 }

// CountRequest counts a request that starts.
func (b *Budget) CountRequest() { b.tokens = min(b.tokens+b.share, maxTokens) }

// Take reports whether one retry is allowed, and counts it.
func (b *Budget) Take() bool {
	if b.share == 0 || b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	b.spent++
	return true
}

// Counts returns how many retries were allowed and denied.
func (b *Budget) Counts() (spent, denied int) { return b.spent, b.denied }
