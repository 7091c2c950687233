package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// checkEvents looks at all that a caller of a stream that may be resumed got, over all its
// tries: each event once and in order, with the text that belongs to its number and to what
// was asked, and nothing beside; an answer that ends as whole has the last event.
func checkEvents(h *History) []string {
	callers := map[string][]Request{}
	for _, q := range h.Requests {
		if q.Kind == Desk {
			callers[q.Caller] = append(callers[q.Caller], q)
		}
	}
	var out []string
	for _, attempts := range callers {
		slices.SortFunc(attempts, func(a, b Request) int { return a.Try - b.Try })
		out = append(out, checkAttempts(attempts)...)
	}
	slices.Sort(out)
	return out
}

// checkCaller looks at the tries of one caller.
func checkAttempts(attempts []Request) []string {
	var out []string
	last := 0
	for _, q := range attempts {
		if q.Status != http.StatusOK {
			continue
		}
		prefix := fmt.Sprintf("%s at gateway %d, after %q", q.ID, q.Gateway, q.LastID)
		for _, e := range q.Events {
			n := eventNumber(e.ID)
			switch {
			case n != last+1 && n <= last:
				out = append(out, fmt.Sprintf("%s: event %q came again at %v, next was %d", prefix, e.ID, e.At, last+1))
			case n != last+1:
				out = append(out, fmt.Sprintf("%s: event %q came at %v, next was %d", prefix, e.ID, e.At, last+1))
			case e.Text != eventText(q.Content, n):
				out = append(out, fmt.Sprintf("%s: event %d at %v has another text: %.60q", prefix, n, e.At, e.Text))
			}
			last = n
		}
		out = append(out, checkEnd(q, last, prefix)...)
	}
	return out
}

// checkEnd looks at the end of an answer, and at bytes that are no event.
func checkEnd(q Request, last int, prefix string) []string {
	complete := !q.Cut && q.LeftAt == 0
	switch tail := q.tail(); {
	case complete && last != streamEvents:
		return []string{fmt.Sprintf("%s: ended as whole at %v after event %d of %d and %.40q", prefix, q.Ended, last, streamEvents, tail)}
	case complete && tail != "":
		return []string{fmt.Sprintf("%s: ended with %.40q", prefix, tail)}
	case !strings.HasPrefix(streamAfter(q.Content, last), tail):
		return []string{fmt.Sprintf("%s: got %.40q after event %d", prefix, tail, last)}
	}
	return nil
}

// rest is what came of a stream after its last whole event.
func (q *Request) tail() string {
	return q.Body[strings.LastIndex("\n\n"+q.Body, "\n\n"):]
}

// checkMemory wants a run that goes on elsewhere to go on from its own copy: the stand-in
// engines name a copy by the request.
func checkRunMemory(h *History) []string {
	var out []string
	for _, a := range h.Arrivals {
		if a.Ran && a.Mixed {
			out = append(out, fmt.Sprintf("%s went on at %s at %v from %s", a.ID, a.Server, a.At, a.Header.Get(headers.KVSource)))
		}
	}
	return out
}
