package admission_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/admission"
)

var start = time.Unix(1000, 0)

func item(id, customer string, priority, work int, due time.Duration) *admission.Item {
	return &admission.Item{ID: id, Customer: customer, Priority: priority, Work: work, Deadline: start.Add(due)}
}

// order serves all items and returns their IDs.
func order(q *admission.Queue) []string {
	var out []string
	for it := q.Peek(0); it != nil; it = q.Peek(0) {
		q.Dequeue(it.ID)
		out = append(out, it.ID)
	}
	return out
}

func TestOrder(t *testing.T) {
	for _, c := range []struct {
		name  string
		items []*admission.Item
		want  []string
	}{
		{"priority first", []*admission.Item{item("low", "c", 2, 1, time.Second), item("high", "c", 0, 1, time.Minute)}, []string{"high", "low"}},
		{"earliest deadline", []*admission.Item{item("late", "c", 0, 1, 2*time.Second), item("soon", "c", 0, 1, time.Second)}, []string{"soon", "late"}},
		{"customers alternate", []*admission.Item{
			item("a1", "a", 0, 10, 1*time.Second), item("a2", "a", 0, 10, 2*time.Second), item("a3", "a", 0, 10, 3*time.Second),
			item("b1", "b", 0, 10, 9*time.Second),
		}, []string{"a1", "b1", "a2", "a3"}},
		{"duplicate ID", []*admission.Item{item("x", "c", 0, 1, time.Second), item("x", "c", 0, 1, time.Second)}, []string{"x"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := admission.New()
			for _, it := range c.items {
				q.Add(it)
			}
			assert.DeepEqual(t, order(q), c.want)
			assert.Equal(t, q.Len(), 0)
		})
	}
}

// TestWorkFollowsShares serves two customers that always have requests waiting:
// the work must be divided in proportion to their shares.
func TestWorkFollowsShares(t *testing.T) {
	q := admission.New()
	work := map[string]int{}
	n := 0
	add := func(c string, share int) {
		n++
		q.Add(&admission.Item{ID: fmt.Sprint(n), Customer: c, Share: share, Work: 100, Deadline: start})
	}
	for range 3 {
		add("big", 3)
		add("small", 1)
	}
	for range 400 {
		it := q.Dequeue(q.Peek(0).ID)
		work[it.Customer] += it.Work
		add(it.Customer, it.Share)
	}
	ratio := float64(work["big"]) / float64(work["small"])
	assert.Assert(t, ratio > 2.9 && ratio < 3.1, "%.2f", ratio)
}

// TestIdleCustomerSavesNoShare checks that a customer that was idle does not take
// precedence over the others when it returns.
func TestIdleCustomerSavesNoShare(t *testing.T) {
	q := admission.New()
	for i := range 50 {
		q.Add(item(fmt.Sprint("a", i), "a", 0, 10, time.Second))
	}
	for range 40 {
		q.Dequeue(q.Peek(0).ID)
	}
	for i := range 10 {
		q.Add(item(fmt.Sprint("b", i), "b", 0, 10, time.Second))
	}
	first := map[string]int{}
	for range 10 {
		first[q.Dequeue(q.Peek(0).ID).Customer]++
	}
	assert.Assert(t, first["a"] >= 4, "%v", first)
}

func TestLateRequestsAreRemoved(t *testing.T) {
	q := admission.New()
	q.Add(item("late", "c", 0, 1, 100*time.Millisecond))
	q.Add(item("in time", "c", 0, 1, 300*time.Millisecond))
	q.Add(item("far", "c", 0, 1, time.Hour))
	minTime := func(*admission.Item) time.Duration { return 200 * time.Millisecond }
	got := q.RemoveLate(0, start, minTime)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].ID, "late")
	assert.Equal(t, q.Len(), 2)
}

// TestLargestRequestIsShedFirst checks that the greatest number of requests is
// served in time.
func TestLargestRequestIsShedFirst(t *testing.T) {
	q := admission.New()
	q.Add(item("huge", "c", 0, 900, time.Second))
	for i := range 5 {
		q.Add(item(fmt.Sprint("small", i), "c", 0, 100, time.Second))
	}
	got := q.Shed(0, start, 1000) // a thousand tokens a second
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].ID, "huge")
	assert.Equal(t, q.QueuedWork(0), 500)
}

func BenchmarkAddDequeue(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := admission.New()
			for i := range n {
				q.Add(item(fmt.Sprint(i), fmt.Sprint("c", i%50), i%3, 100, time.Duration(i)*time.Millisecond))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				it := q.Dequeue(q.Peek(0).ID)
				it.Deadline = it.Deadline.Add(time.Second)
				q.Add(it)
				i++
			}
		})
	}
}
