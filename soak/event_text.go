package soak

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/ledgepin/ledgepin/standin"
)

// streamEvents is the number of events of a stream of the engines, eventTokens the number of tokens
// of each event.
const (
	streamEvents = 40
	eventTokens  = 10
)

// Markers in the content of requests that select the texts of the answer's events.
const (
	// oddTextMarker selects texts like those that callers may request: with colons, texts that look
	// like event fields, JSON, several lines, and multi-byte characters.
	oddTextMarker = "odd"
	// bigTextMarker selects texts of some kilobytes each.
	bigTextMarker = "big"
)

// bigTextBytes is the size of a big text.
const bigTextBytes = 12 << 10

// eventText returns the text of the n-th event of the answer to a content. It differs for any two
// contents and numbers, so that the checks detect a mix of two runs.
func eventText(content string, n int) string {
	h := fnv.New32a()
	fmt.Fprint(h, content, " ", n)
	tag := h.Sum32()
	mark := fmt.Sprintf("%08x", tag)
	switch {
	case strings.Contains(content, bigTextMarker):
		return mark + strings.Repeat(" event", bigTextBytes/len(" event")) + fmt.Sprint(" ", n)
	case !strings.Contains(content, oddTextMarker):
		return fmt.Sprintf("event %d %s", n, mark)
	}
	other := int(tag>>3)%streamEvents + 1
	switch tag % 6 {
	case 0:
		return fmt.Sprintf("%s invalid: %d", mark, other)
	case 1:
		return fmt.Sprintf("id: %d", other) + " " + mark
	case 2:
		return fmt.Sprintf(`{"uid: %d":%d,"mark":%q,"text":"data: a\nid: %d\n"}`, other, n, mark, other)
	case 3:
		return fmt.Sprintf("příliš žluťoučký kůň: %s 変更 %d", mark, n)
	case 4:
		return fmt.Sprintf("%s\nid: %d\n\n:%d\n ", mark, other, n)
	default:
		return fmt.Sprintf(" %s: %d:", mark, n)
	}
}

// streamAfter returns the part of the complete answer to a content that follows event last.
func streamAfter(content string, last int) string {
	var b strings.Builder
	for n := last + 1; n <= streamEvents; n++ {
		b.WriteString(standin.WriteEvent(n, eventText(content, n)))
	}
	return b.String()
}

// eventNumber parses the ID of an event. It returns 0 if there is none and -1 if it is not a
// number.
func eventNumber(id string) int {
	if id == "" {
		return 0
	}
	n, err := strconv.Atoi(id)
	if err != nil {
		return -1
	}
	return n
}
