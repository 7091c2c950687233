package gateway

import (
	"fmt"
	"strings"
)

// eventPrefix reports whether a text begins with an event, and with how many of its bytes. The LF
// of a CR LF that ends the event may be missing: by the standard the CR ends the line, and the
// event is relayed with it; an engine that is interrupted there never sends the LF.
func eventPrefix(text, event string) (int, bool) {
	if strings.HasPrefix(text, event) {
		return len(event), true
	}
	short, ok := strings.CutSuffix(event, "\r\n")
	if ok && strings.HasPrefix(text, short+"\r") {
		return len(short) + 1, true
	}
	return 0, false
}

// checkEvents reads an answer event by event, and returns the next event that is due.
func (sc *scenario) checkEvents(body string, next int, got reply) (int, error) {
	rest := got.body
	for next <= sc.lastEvent {
		n, ok := eventPrefix(rest, sc.event(body, next))
		if !ok {
			break
		}
		rest = rest[n:]
		next++
	}
	if rest == "" {
		if !got.truncated && next <= sc.lastEvent {
			return next, fmt.Errorf("the answer looks complete after event %d of %d", next-1, sc.lastEvent)
		}
		return next, nil
	}
	for n := 1; n <= sc.lastEvent; n++ {
		if strings.HasPrefix(rest, sc.event(body, n)) {
			return next, fmt.Errorf("received event %d, expected %d", n, next)
		}
	}
	if next <= sc.lastEvent && strings.HasPrefix(sc.event(body, next), rest) {
		if !got.truncated {
			return next, fmt.Errorf("the answer looks complete within event %d", next)
		}
		return next, nil
	}
	return next, fmt.Errorf("received %.60q, expected event %d", rest, next)
}
