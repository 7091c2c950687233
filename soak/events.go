package soak

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"time"
)

// Event is an event as a caller received it.
type Event struct {
	ID   string
	Text string
	At   time.Duration
}

// eventReader reads the events of an answer as a caller does, optionally slowly.
type eventReader struct {
	rng *rand.Rand
	now func() time.Duration
	// maxReadSize is the maximum size of most reads.
	maxReadSize int
	// maxReadPause is the maximum pause between two reads.
	maxReadPause time.Duration
	// onEvent is called with each event and returns whether the caller stays connected.
	onEvent func(e Event) bool

	// body is what the caller has received, delivered the length of the events that were passed to
	// onEvent.
	body      []byte
	delivered int
}

// errCallerDisconnected ends the reading of a caller that disconnects.
var errCallerDisconnected = errors.New("soak: the caller disconnected")

// Sizes of reads, for small and for big events.
const (
	smallEventReadSize = 700
	bigEventReadSize   = 16 << 10
)

// read reads an answer to its end, in reads of random size.
func (e *eventReader) read(r io.Reader) error {
	buf := make([]byte, bigEventReadSize)
	for {
		size := len(buf)
		if e.rng.IntN(3) > 0 {
			size = 1 + e.rng.IntN(e.maxReadSize)
		}
		n, err := r.Read(buf[:size])
		if n > 0 && !e.feed(buf[:n]) {
			return errCallerDisconnected
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

// feed adds bytes and passes complete events to onEvent. It returns false if the caller
// disconnects; bytes after that event are discarded.
func (e *eventReader) feed(data []byte) bool {
	e.body = append(e.body, data...)
	for {
		block, _, ok := bytes.Cut(e.body[e.delivered:], []byte("\n\n"))
		if !ok {
			return true
		}
		e.delivered += len(block) + len("\n\n")
		if isComment(block) {
			continue
		}
		if !e.onEvent(parseEvent(string(block), e.now())) {
			e.body = e.body[:e.delivered]
			return false
		}
	}
}

// parseEvent parses the lines of an event.
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
