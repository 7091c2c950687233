package gateway

import (
	"fmt"
	"strings"
)

// begins tells whether a text begins with an event, and with how many of its bytes. The LF of a
// CR LF that ends it may be missing: by the standard the CR ends the line, and the event is passed
// on with it; an engine that breaks off there never sends the LF.
func begins(text, event string) (int, bool) {
	if strings.HasPrefix(text, event) {
		return len(event), true
	}
	short, ok := strings.CutSuffix(event, "\r\n")
	if ok && strings.HasPrefix(text, short+"\r") {
		return len(short) + 1, true
	}
	return 0, false
}

// follow reads an answer event by event, and returns the next one that is due.
func (p *play) follow(body string, next int, got reply) (int, error) {
	rest := got.body
	for next <= p.last {
		n, ok := begins(rest, p.event(body, next))
		if !ok {
			break
		}
		rest = rest[n:]
		next++
	}
	if rest == "" {
		if !got.cut && next <= p.last {
			return next, fmt.Errorf("the answer looks whole after event %d of %d", next-1, p.last)
		}
		return next, nil
	}
	for n := 1; n <= p.last; n++ {
		if strings.HasPrefix(rest, p.event(body, n)) {
			return next, fmt.Errorf("event %d comes, the next was %d", n, next)
		}
	}
	if next <= p.last && strings.HasPrefix(p.event(body, next), rest) {
		if !got.cut {
			return next, fmt.Errorf("the answer looks whole within event %d", next)
		}
		return next, nil
	}
	return next, fmt.Errorf("%.60q comes, the next was event %d", rest, next)
}
