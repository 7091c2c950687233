package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/clock"
)

// streamWriter passes the events of a stream on.
type streamWriter struct {
	g       *Gateway
	w       http.ResponseWriter
	q       *request
	started bool
	// whole tells that only whole events are passed on, since the stream may go
	// on at another engine; lastID is the last one that the caller has.
	whole   bool
	lastID  string
	partial []byte
	// firstAt is when the first part came, lastAt the newest, and gap the
	// longest pause between two.
	firstAt, lastAt time.Time
	gap             time.Duration
	// made is told how many tokens the answer has so far.
	made   func(tokens int)
	events int
}

func newStreamWriter(g *Gateway, w http.ResponseWriter, q *request) *streamWriter {
	return &streamWriter{g: g, w: w, q: q, whole: q.route.Resumable || q.service.Engine.Migrates}
}

const (
	streamBuffer = 8 << 10
	// callerTimeout is how long a caller may take to read a part of a stream.
	callerTimeout = 5 * time.Second
)

// copy passes a server's stream on until its end. It returns nil only if the
// server ended it as whole.
func (s *streamWriter) copy(ctx context.Context, a *backend.Answer) error {
	if !s.started {
		s.started = true
		copyHead(s.w, a.Header)
		s.w.WriteHeader(a.Status)
	}
	s.partial = s.partial[:0]
	control := http.NewResponseController(s.w)
	buf := make([]byte, streamBuffer)
	for {
		n, err := a.Read(buf)
		if n > 0 {
			s.pace(s.g.clock.Now())
			_ = control.SetWriteDeadline(clock.Deadline(callerTimeout))
			if werr := s.write(control, buf[:n]); werr != nil {
				return werr
			}
			s.made(s.events * s.q.service.Engine.EventTokens)
		}
		if errors.Is(err, io.EOF) {
			if len(s.partial) > 0 {
				_, err := s.w.Write(s.partial)
				return err
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// pace notes when a part of the stream came.
func (s *streamWriter) pace(now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt = now
	} else {
		s.gap = max(s.gap, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

var eventEnd = []byte("\n\n")

// write passes bytes on; of a stream that may go on at another engine only whole
// events, so that that one can go on after the last.
func (s *streamWriter) write(control *http.ResponseController, data []byte) error {
	if !s.whole {
		s.events += bytes.Count(data, eventEnd)
		if _, err := s.w.Write(data); err != nil {
			return err
		}
		return control.Flush()
	}
	s.partial = append(s.partial, data...)
	end := bytes.LastIndex(s.partial, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	if _, err := s.w.Write(s.partial[:end]); err != nil {
		return err
	}
	s.events += bytes.Count(s.partial[:end], eventEnd)
	s.note(s.partial[:end])
	s.partial = append(s.partial[:0], s.partial[end:]...)
	return control.Flush()
}

// note remembers the ID of the last event.
func (s *streamWriter) note(events []byte) {
	at := bytes.LastIndex(events, []byte("id:"))
	if at < 0 {
		return
	}
	line, _, _ := bytes.Cut(events[at+len("id:"):], []byte("\n"))
	s.lastID = string(bytes.TrimSpace(line))
}
