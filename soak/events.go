package soak

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"time"
)

// Event is an event as a caller got it.
type Event struct {
	ID   string
	Text string
	At   time.Duration
}

// eventReader reads the events of an answer as a caller does, with a hand that may be slow.
type eventReader struct {
	rng *rand.Rand
	now func() time.Duration
	// piece is the longest piece in which the caller reads most of the time.
	maxReadSize int
	// slow is the longest time that the caller waits before it reads on.
	maxReadPause time.Duration
	// got is told of each event, and returns whether the caller stays.
	onEvent func(e Event) bool

	// body is what the caller has taken, handed the length of its events that were handed
	// out.
	body      []byte
	delivered int
}

// errCallerLeft ends the reading of a caller that has had enough.
var errCallerLeft = errors.New("soak: the caller leaves")

// Pieces in which callers read, of small and of big events.
const (
	smallEventReadSize = 700
	bigEventReadSize   = 16 << 10
)

// read reads to the end of an answer, in odd pieces.
func (e *eventReader) read(r io.Reader) error {
	buf := make([]byte, bigEventReadSize)
	for {
		size := len(buf)
		if e.rng.IntN(3) > 0 {
			size = 1 + e.rng.IntN(e.maxReadSize)
		}
		n, err := r.Read(buf[:size])
		if n > 0 && !e.feed(buf[:n]) {
			return errCallerLeft
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if e.maxReadPause > 0 && e.rng.IntN(8) == 0 {
			time.Sleep(time.Duration(e.rng.Float64() * float64(e.maxReadPause)))
		}
	}
}

// feed takes bytes and hands out the events that are whole. It returns false if the caller
// leaves; what came behind the event at which it does is not taken.
func (e *eventReader) feed(data []byte) bool {
	e.body = append(e.body, data...)
	for {
		block, _, ok := bytes.Cut(e.body[e.delivered:], []byte("\n\n"))
		if !ok {
			return true
		}
		e.delivered += len(block) + len("\n\n")
		if !e.onEvent(parseEvent(string(block), e.now())) {
			e.body = e.body[:e.delivered]
			return false
		}
	}
}

// parseEvent reads the lines of an event.
func parseEvent(block string, at time.Duration) Event {
	out := Event{At: at}
	var text []string
	for line := range strings.SplitSeq(block, "\n") {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			out.ID = value
		case "data":
			text = append(text, value)
		}
	}
	out.Text = strings.Join(text, "\n")
	return out
}
