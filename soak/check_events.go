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
	for _, tries := range callers {
		slices.SortFunc(tries, func(a, b Request) int { return a.Try - b.Try })
		out = append(out, checkCaller(tries)...)
	}
	slices.Sort(out)
	return out
}

// checkCaller looks at the tries of one caller.
func checkCaller(tries []Request) []string {
	var out []string
	last := 0
	for _, q := range tries {
		if q.Status != http.StatusOK {
			continue
		}
		where := fmt.Sprintf("%s at gateway %d, after %q", q.ID, q.Gateway, q.LastID)
		for _, e := range q.Events {
			n := numberOf(e.ID)
			switch {
			case n != last+1 && n <= last:
				out = append(out, fmt.Sprintf("%s: event %q came again at %v, next was %d", where, e.ID, e.At, last+1))
			case n != last+1:
				out = append(out, fmt.Sprintf("%s: event %q came at %v, next was %d", where, e.ID, e.At, last+1))
			case e.Text != textOf(q.Content, n):
				out = append(out, fmt.Sprintf("%s: event %d at %v has another text: %.60q", where, n, e.At, e.Text))
			}
			last = n
		}
		out = append(out, checkEnd(q, last, where)...)
	}
	return out
}

// checkEnd looks at the end of an answer, and at bytes that are no event.
func checkEnd(q Request, last int, where string) []string {
	whole := !q.Cut && q.LeftAt == 0
	switch rest := q.rest(); {
	case whole && last != streamEvents:
		return []string{fmt.Sprintf("%s: ended as whole at %v after event %d of %d and %.40q", where, q.Ended, last, streamEvents, rest)}
	case whole && rest != "":
		return []string{fmt.Sprintf("%s: ended with %.40q", where, rest)}
	case !strings.HasPrefix(streamFrom(q.Content, last), rest):
		return []string{fmt.Sprintf("%s: got %.40q after event %d", where, rest, last)}
	}
	return nil
}

// rest is what came of a stream after its last whole event.
func (q *Request) rest() string {
	return q.Body[strings.LastIndex("\n\n"+q.Body, "\n\n"):]
}

// checkMemory wants a run that goes on elsewhere to go on from its own copy: the stand-in
// engines name a copy by the request.
func checkMemory(h *History) []string {
	var out []string
	for _, a := range h.Arrivals {
		if a.Ran && a.Mixed {
			out = append(out, fmt.Sprintf("%s went on at %s at %v from %s", a.ID, a.Server, a.At, a.Header.Get(headers.KVSource)))
		}
	}
	return out
}
