package admission

import (
	"slices"
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/internal/pq"
)

// Item is a waiting request.
type Item struct {
	ID       string
	Customer string
	Share    int
	Priority int
	// Work is the prefill work in tokens.
	Work int
	// Deadline is when the first token is due; the earliest is served first.
	Deadline time.Time
	// Expires is when the item is no longer useful; Deadline if zero. It is later
	// than Deadline for a retry, which is served first and may wait longer.
	Expires time.Time

	pos   int
	owner *customer
}

// expiry returns when the item is no longer useful.
func (it *Item) expiry() time.Time {
	if it.Expires.IsZero() {
		return it.Deadline
	}
	return it.Expires
}

// before reports whether an item is ordered before another one, by deadline.
func (it *Item) before(o *Item) bool {
	if !it.Deadline.Equal(o.Deadline) {
		return it.Deadline.Before(o.Deadline)
	}
	return it.ID < o.ID
}

// Queue holds the waiting requests of one model at an entry. It is not safe for
// concurrent use.
type Queue struct {
	levels [levels]*level
	byID   map[string]*Item
}

const levels = 10 // number of priorities

// level is one priority: the customers with waiting requests, ordered by virtual
// time, which is the work that a customer has received divided by its share.
type level struct {
	customers   map[string]*customer
	order       pq.Queue[*customer] // by virtual time
	virtualTime float64
	work        int
}

type customer struct {
	name        string
	share       float64
	virtualTime float64
	items       pq.Queue[*Item] // by deadline
	work        int
	pos         int
}

// before reports whether a customer is ordered before another one, by virtual
// time.
func (c *customer) before(o *customer) bool {
	if c.virtualTime != o.virtualTime {
		return c.virtualTime < o.virtualTime
	}
	return c.name < o.name
}

// New returns an empty queue.
func New() *Queue {
	q := &Queue{byID: map[string]*Item{}}
	for i := range q.levels {
		l := &level{customers: map[string]*customer{}}
		l.order.Less = (*customer).before
		l.order.Moved = func(c *customer, index int) { c.pos = index }
		q.levels[i] = l
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.byID) }

// QueuedWork returns the waiting work, in tokens, of the priorities 0 to p.
func (q *Queue) QueuedWork(p int) int {
	sum := 0
	for i := 0; i <= p; i++ {
		sum += q.levels[i].work
	}
	return sum
}

// Add adds an item. It does nothing if an item with the same ID waits already.
func (q *Queue) Add(it *Item) {
	if q.byID[it.ID] != nil {
		return
	}
	q.byID[it.ID] = it
	l := q.levels[it.Priority]
	c := l.customer(it)
	it.owner = c
	c.items.Push(it)
	c.work += it.Work
	l.work += it.Work
	if c.pos < 0 {
		// A customer that was idle starts at the level's virtual time, so that it
		// does not get the share of the time in which it had no requests.
		c.virtualTime = max(c.virtualTime, l.virtualTime)
		l.order.Push(c)
	}
}

func (l *level) customer(it *Item) *customer {
	c := l.customers[it.Customer]
	if c == nil {
		c = &customer{name: it.Customer, virtualTime: l.virtualTime, pos: -1}
		c.items.Less = (*Item).before
		c.items.Moved = func(it *Item, index int) { it.pos = index }
		l.customers[it.Customer] = c
	}
	c.share = float64(max(it.Share, 1))
	return c
}

// Remove removes an item and returns it, or nil if it does not wait.
func (q *Queue) Remove(id string) *Item {
	it := q.byID[id]
	if it == nil {
		return nil
	}
	delete(q.byID, id)
	l, c := q.levels[it.Priority], it.owner
	c.items.Remove(it.pos)
	c.work -= it.Work
	l.work -= it.Work
	if c.items.Len() == 0 {
		l.order.Remove(c.pos)
		l.dropIdle(c)
	}
	return it
}

// dropIdle deletes a customer without requests, unless it has received more than
// its share, which counts when it returns.
func (l *level) dropIdle(c *customer) {
	if c.virtualTime <= l.virtualTime || l.order.Len() == 0 {
		delete(l.customers, c.name)
	}
}

// Peek returns the item that is served next among the priorities from the given
// one on, or nil.
func (q *Queue) Peek(from int) *Item {
	for i := from; i < levels; i++ {
		if l := q.levels[i]; l.order.Len() > 0 {
			return l.order.First().items.First()
		}
	}
	return nil
}

// Dequeue removes an item that is about to be served and charges its work to its
// customer. It returns nil if the item does not wait.
func (q *Queue) Dequeue(id string) *Item {
	it := q.byID[id]
	if it == nil {
		return nil
	}
	l, c := q.levels[it.Priority], it.owner
	l.virtualTime = max(l.virtualTime, c.virtualTime)
	c.virtualTime += float64(max(it.Work, 1)) / c.share
	l.order.Fix(c.pos)
	return q.Remove(id)
}

// RemoveLate removes and returns the items of a priority whose first token would
// be late; minTime returns the shortest time from now to the first token.
func (q *Queue) RemoveLate(priority int, now time.Time, minTime func(*Item) time.Duration) []*Item {
	var out []*Item
	for _, c := range q.levels[priority].order.Items() {
		out = append(out, lateItems(c.items.Items(), now, minTime)...)
	}
	for _, it := range out {
		q.Remove(it.ID)
	}
	return out
}

// lateItems returns the late items of a heap. It starts at the earliest deadline
// and skips what lies below an item that can't be late yet.
func lateItems(h []*Item, now time.Time, minTime func(*Item) time.Duration) []*Item {
	var out []*Item
	stack := []int{0}
	for len(stack) > 0 {
		i := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if i >= len(h) || now.Add(scanMargin).Before(h[i].Deadline.Add(-maxServiceTime)) {
			continue
		}
		if now.Add(minTime(h[i])).After(h[i].expiry()) {
			out = append(out, h[i])
		}
		stack = append(stack, 2*i+1, 2*i+2)
	}
	return out
}

const (
	// scanMargin extends the scan of a heap to slightly later deadlines.
	scanMargin = 10 * time.Millisecond
	// maxServiceTime is the assumed maximum time from the start of a request to
	// its first token.
	maxServiceTime = time.Minute
)

// Shed removes and returns items of a priority, the largest first, until the
// others can be served in time at rate tokens a second. Each customer gets its
// share of the rate.
func (q *Queue) Shed(priority int, now time.Time, rate float64) []*Item {
	l := q.levels[priority]
	var shares float64
	for _, c := range l.order.Items() {
		shares += c.share
	}
	var out []*Item
	for _, c := range l.order.Items() {
		out = append(out, c.shed(now, rate*c.share/shares)...)
	}
	for _, it := range out {
		q.Remove(it.ID)
	}
	return out
}

// shed returns the items to drop by Moore's algorithm.
func (c *customer) shed(now time.Time, rate float64) []*Item {
	if c.items.Len() < 2 || rate <= 0 {
		return nil
	}
	order := slices.Clone(c.items.Items())
	sort.Slice(order, func(i, j int) bool { return order[i].before(order[j]) })
	kept := pq.Queue[*Item]{Less: func(a, b *Item) bool { return a.Work > b.Work }}
	var out []*Item
	var work float64
	for _, it := range order {
		kept.Push(it)
		work += float64(it.Work)
		end := now.Add(time.Duration(work / rate * float64(time.Second)))
		if end.After(it.expiry()) {
			largest := kept.Pop()
			work -= float64(largest.Work)
			out = append(out, largest)
		}
	}
	return out
}
