package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// checkEvents checks the events that callers of resumable streams received over all their attempts:
// each event arrives once and in order, its text matches its number, the request and the version of
// the first event, and nothing else arrives. An answer that ends as complete has the last event.
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

// checkAttempts checks the attempts of one caller.
func checkAttempts(attempts []Request) []string {
	var out []string
	last, version := 0, ""
	for _, q := range attempts {
		if q.Status != http.StatusOK {
			continue
		}
		prefix := fmt.Sprintf("%s at gateway %d, after %q", q.ID, q.Gateway, q.LastID)
		for _, e := range q.Events {
			n := eventNumber(e.ID)
			switch {
			case n != last+1 && n <= last:
				out = append(out, fmt.Sprintf("%s: event %q arrived again at %v, expected %d", prefix, e.ID, e.At, last+1))
			case n != last+1:
				out = append(out, fmt.Sprintf("%s: event %q arrived at %v, expected %d", prefix, e.ID, e.At, last+1))
			default:
				of := matchVersion(q.Content, n, e.Text)
				if of == "" {
					out = append(out, fmt.Sprintf("%s: event %d at %v has another text: %.60q", prefix, n, e.At, e.Text))
				} else if version == "" {
					version = of
				} else if of != version {
					out = append(out, fmt.Sprintf("%s: event %d at %v is of version %s, the stream of version %s", prefix, n, e.At, of, version))
				}
			}
			last = n
		}
		out = append(out, checkEnd(q, last, version, prefix)...)
	}
	return out
}

// checkEnd checks the end of an answer and bytes that belong to no event. version is that of the
// events before; empty if there are none.
func checkEnd(q Request, last int, version, prefix string) []string {
	complete := !q.Cut && q.LeftAt == 0
	switch tail := q.tail(); {
	case complete && last != streamEvents:
		return []string{fmt.Sprintf("%s: ended as complete at %v after event %d of %d and %.40q", prefix, q.Ended, last, streamEvents, tail)}
	case complete && tail != "":
		return []string{fmt.Sprintf("%s: ended with %.40q", prefix, tail)}
	case !slices.ContainsFunc(engineVersions, func(v string) bool {
		return (version == "" || v == version) && strings.HasPrefix(streamAfter(versionContent(q.Content, v), last), tail)
	}):
		return []string{fmt.Sprintf("%s: received %.40q after event %d", prefix, tail, last)}
	}
	return nil
}

// tail returns what was received of a stream after its last complete event.
func (r *Request) tail() string {
	return r.Body[strings.LastIndex("\n\n"+r.Body, "\n\n"):]
}

// checkRunMemory checks that a run that continues elsewhere uses its own copy. The stand-in engines
// name a copy by its request.
func checkRunMemory(h *History) []string {
	var out []string
	for _, a := range h.Arrivals {
		if a.Ran && a.Mixed {
			out = append(out, fmt.Sprintf("%s continued at %s at %v from %s", a.ID, a.Server, a.At, a.Header.Get(headers.KVSource)))
		}
	}
	return out
}
