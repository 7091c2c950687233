package dispatch

import (
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/route"
)

// QueuedRequest is a request that waits for an engine with capacity.
type QueuedRequest struct {
	Work   Work
	Engine *route.Engine
	Avoid  Avoid
	// Until is the time by which it must be placed to be served in time; zero if there is none.
	Until time.Time
}

// Queue holds the requests of one gateway that wait for capacity, in order of urgency;
// within an urgency, streams that are resumed come first, then requests of organisations within
// their share, and then the order of arrival counts.
type Queue struct {
	list []*QueuedRequest
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return len(q.list) }

// CountAhead returns the number of requests that come before a new one: those to its service that
// are as urgent or more.
func (q *Queue) CountAhead(w Work) int {
	n := 0
	for _, r := range q.list {
		if w.Pinned && (!r.Work.Pinned || r.Work.Version != w.Version) {
			continue
		}
		if r.Work.Service == w.Service && r.Work.Urgency.Compare(w.Urgency) <= 0 {
			n++
		}
	}
	return n
}

// CountWaiting returns the number of requests to a service that wait, and the priority of the
// most urgent one, which is that of its organisation.
func (q *Queue) CountWaiting(service string) (n, priority int) {
	for _, r := range q.list {
		if r.Work.Service != service {
			continue
		}
		if n == 0 {
			priority = r.Work.Urgency.Organisation
		}
		n++
	}
	return n, priority
}

// Demand returns the requests that wait, by service and urgency.
func (q *Queue) Demand() []demand.Class {
	var out []demand.Class
	for _, r := range q.list {
		k := demand.Key{Service: r.Work.Service, Urgency: r.Work.Urgency}
		c := demand.Class{Service: k.Service, Organisation: k.Urgency.Organisation, Route: k.Urgency.Route}
		i := slices.IndexFunc(out, func(o demand.Class) bool { return o.Key() == k })
		if i < 0 {
			i = len(out)
			out = append(out, c)
		}
		out[i].Waiting++
		out[i].WaitingTokens += r.Work.finalTokens()
	}
	return out
}

// Add adds a request to the queue.
func (q *Queue) Add(r *QueuedRequest) {
	at, _ := slices.BinarySearchFunc(q.list, r, func(a, b *QueuedRequest) int {
		urgency := a.Work.Urgency.Compare(b.Work.Urgency)
		switch {
		case urgency != 0:
			return urgency
		case a.Work.Pinned != b.Work.Pinned:
			if b.Work.Pinned {
				return 1
			}
			return -1
		case a.Work.OverShare && !b.Work.OverShare:
			return 1
		}
		return -1
	})
	q.list = slices.Insert(q.list, at, r)
}

// Remove removes a request from the queue, if it is there.
func (q *Queue) Remove(r *QueuedRequest) {
	q.list = slices.DeleteFunc(q.list, func(o *QueuedRequest) bool { return o == r })
}

// ServeQueue reserves engines for queued requests as long as the first of the queue finds
// capacity, and calls placed for each. A request without capacity holds up those behind it,
// so that a large prompt is not passed over for ever. A request for which there is capacity
// only at engines that it has tried already holds up none, since it waits for another engine. Nor
// does a stream that waits for an engine of its version.
func (f *Fleet) ServeQueue(now time.Time, q *Queue, placed func(r *QueuedRequest, p Pair)) {
	for at := 0; at < len(q.list); {
		r := q.list[at]
		p, ok := f.ChoosePair(now, r.Work, r.Engine, r.Avoid)
		if !ok {
			if f.restricted(r.Work) {
				at++
				continue
			}
			if len(r.Avoid) == 0 {
				return
			}
			if _, anywhere := f.ChoosePair(now, r.Work, r.Engine, nil); !anywhere {
				return
			}
			at++
			continue
		}
		q.list = slices.Delete(q.list, at, at+1)
		f.Reserve(p.Decode.ID, r.Work)
		f.StartPrefill(p.PrefillServer().ID, r.Work)
		f.NoteSent(now, p.Decode.ID)
		if p.Prefill != nil {
			f.NoteSent(now, p.Prefill.ID)
		}
		placed(r, p)
	}
}
