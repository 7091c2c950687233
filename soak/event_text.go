package soak

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/ledgepin/ledgepin/standin"
)

// streamEvents is the number of events of a stream of the run's engines, eventTokens the
// number of tokens of each.
const (
	streamEvents = 40
	eventTokens  = 10
)

// Words in the contents of requests, which say what the events of their answers hold.
const (
	// oddTexts are texts like those that callers ask for: with colons, with what looks like
	// fields of events, JSON, several lines, letters of several bytes.
	oddTextMarker = "odd"
	// bigTexts are some kilobytes each.
	bigTextMarker = "big"
)

// bigText is the length of a big text.
const bigTextBytes = 12 << 10

// textOf is what the n-th event of the answer to a content holds. It differs for any two
// contents and numbers, so that parts of two runs can't be joined unseen.
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

// streamFrom is what follows an event of the whole answer to a content.
func streamAfter(content string, last int) string {
	var b strings.Builder
	for n := last + 1; n <= streamEvents; n++ {
		b.WriteString(standin.WriteEvent(n, eventText(content, n)))
	}
	return b.String()
}

// numberOf reads the ID of an event; 0 if there is none, -1 if it is no number.
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
