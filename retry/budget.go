// Package retry bounds what failures may cost: a budget for retries that is a
// share of live traffic, the ejection of servers that keep failing, and pauses
// between tries that will fail again.
//
// A count of retries per request multiplies the load just when servers fail.
// A shared budget keeps the extra load at a fixed share whatever happens.
package retry

// Budget allows retries as a share of the requests that start. The zero value
// allows none.
type Budget struct {
	share  float64
	tokens float64
	spent  int
	denied int
}

// minTokens lets a small site retry a few requests before any share is earned.
const minTokens = 10

// maxTokens bounds the share saved up in quiet times.
const maxTokens = 100

// NewBudget returns a budget of percent retries for 100 requests.
func NewBudget(percent int) *Budget {
	return &Budget{share: float64(percent) / 100, tokens: minTokens}
}

// SetPercent changes the share.
func (b *Budget) SetPercent(percent int) { b.share = float64(percent) / 100 }

// CountRequest counts a request that starts.
func (b *Budget) CountRequest() { b.tokens = min(b.tokens+b.share, maxTokens) }

// Take allows one retry, or not.
func (b *Budget) Take() bool {
	if b.share == 0 || b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	b.spent++
	return true
}

// Spent and denied count the retries that were allowed and not.
func (b *Budget) Counts() (spent, denied int) { return b.spent, b.denied }
