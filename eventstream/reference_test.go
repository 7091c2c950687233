package eventstream

import (
	"regexp"
	"strings"
)

// expected is a block as the reference finds it.
type expected struct {
	found
	// ready is the number of bytes of the stream after which the block can be forwarded.
	ready int
}

var lineWithEnd = regexp.MustCompile(`(?s)^([^\r\n]*)(\r\n|\r|\n)`)

// reference splits a complete stream without optimisations, following the text of the
// standard.
func reference(stream string) (blocks []expected, rest string) {
	at := 0
	if strings.HasPrefix(stream, bom) {
		at = len(bom)
		blocks = append(blocks, expected{found{Kind: BOM, Raw: bom}, at})
	}
	begin := at
	var lines []string
	for {
		m := lineWithEnd.FindStringSubmatch(stream[at:])
		if m == nil {
			return blocks, stream[begin:]
		}
		at += len(m[0])
		if m[1] != "" {
			lines = append(lines, m[1])
			continue
		}
		b := referenceFields(lines)
		b.Raw = stream[begin:at]
		blocks = append(blocks, expected{b, at - len(m[2]) + 1})
		begin, lines = at, nil
	}
}

// referenceFields keeps the buffers that the standard describes, for one block.
func referenceFields(lines []string) found {
	b := found{Kind: NoData}
	data := ""
	for _, line := range lines {
		field, value := line, ""
		if colon := strings.IndexRune(line, ':'); colon == 0 {
			continue
		} else if colon > 0 {
			field, value = line[:colon], line[colon+1:]
			if len(value) > 0 && value[0] == ' ' {
				value = value[1:]
			}
		}
		if field == "data" {
			data += value + "\n"
		}
		if field == "id" && !strings.Contains(value, "\x00") {
			b.HasID, b.ID = true, value
		}
	}
	if data != "" {
		b.Kind = Event
	}
	return b
}
