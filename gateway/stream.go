package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/eventstream"
	"github.com/ledgepin/ledgepin/membudget"
	"github.com/ledgepin/ledgepin/metric"
)

// streamWriter relays the events of one caller's answer, whichever engines generate them: only
// complete events, each once and in order. It verifies the order, because an engine may continue at
// the wrong event, through a wrong count of its own or a late answer.
type streamWriter struct {
	g       *Gateway
	w       http.ResponseWriter
	control *http.ResponseController
	q       *request
	started bool
	reader  eventstream.Reader
	order   eventstream.Sequencer
	// plain is set if the answer is not an event stream, and is relayed as received.
	plain bool
	// untyped is set if the engine sent no Content-Type, and sawBlock if it has sent a complete
	// block.
	untyped, sawBlock bool
	// out are the blocks that are written together.
	out []byte
	// from is the engine that serves now; outOfOrderNoted is set if it has sent an event out of
	// order.
	from            *dispatch.Server
	outOfOrderNoted bool
	// quietBytes is the length of what came since the last event, droppedBytes that of the events
	// since the last one that was passed on, and plainBytes that of an answer that is no stream of
	// events.
	quietBytes, droppedBytes, plainBytes int
	// fromEvents is the number of events that this engine has sent, including repeated ones.
	fromEvents int
	// firstAt is when the first part arrived, lastAt the newest, and gap is the longest pause
	// between two.
	firstAt, lastAt time.Time
	gap             time.Duration
	// onTokens is called with the number of tokens of the answer so far.
	onTokens func(tokens int)
	// reserve reserves memory for the stream; reserved is the amount beyond streamMemory.
	reserve  func(n int64) error
	reserved int64
	events   int
}

func newStreamWriter(g *Gateway, w http.ResponseWriter, q *request) *streamWriter {
	s := &streamWriter{g: g, w: w, control: http.NewResponseController(w), q: q, order: &eventstream.OpaqueIDs{}}
	if g.cfg.Protocol.ConsecutiveEventIDs {
		s.order = &eventstream.Sequence{}
	}
	// On a route that is not resumable a run starts from the beginning, whatever the caller has of
	// an earlier one.
	if q.route.Resumable {
		s.order.Resume(q.send.Header.Get(g.cfg.Protocol.Headers.LastEventID))
	}
	return s
}

const (
	streamBuffer = 8 << 10
	// callerTimeout is how long a caller may take to read a part of a stream.
	callerTimeout = 5 * time.Second
	// maxQuietBytes bounds what is no event between two events, such as comments that keep the
	// connection alive. A server that sends more sends no answer.
	maxQuietBytes = 64 << 10
	// maxDroppedBytes bounds the events that an engine repeats after it has taken over a stream.
	maxDroppedBytes = 4 << 20
)

// Errors of incomplete streams.
var (
	errEventsMissing = errors.New("gateway: events of the stream are missing")
	errPartialEvent  = errors.New("gateway: the stream ended within an event")
	errRunStopped    = errors.New("gateway: the run may have been stopped, so its stream is incomplete")
	errNoEvents      = errors.New("gateway: the continued run sent no events, so some may be missing")
	errEndless       = errors.New("gateway: the server sends more than an answer may have")
	errCallerWrite   = errors.New("gateway: the caller does not read the stream")
)

// canResume reports whether the stream can continue at another engine after the events that the
// caller has.
func (s *streamWriter) canResume() bool { return !s.plain && s.order.Resumable() }

// canMigrate reports whether the run can migrate: an engine that continues a copy gets the last
// event ID, and without one it might start after everything that the run had generated.
func (s *streamWriter) canMigrate() bool { return s.canResume() && s.order.Last() != "" }

// relay relays an engine's stream until its end. It returns nil only if the engine ended the stream
// as complete.
func (s *streamWriter) relay(a *backend.Answer, from *dispatch.Server) error {
	s.startFrom(a, from)
	buf := make([]byte, streamBuffer)
	for {
		n, err := a.Read(buf)
		if n > 0 {
			s.noteTiming(s.g.clock.Now())
			s.g.noteCarried(s.q, n)
			if werr := s.processPart(buf[:n]); werr != nil {
				return werr
			}
			if merr := s.accountMemory(); merr != nil {
				return merr
			}
			s.onTokens(s.events * s.q.service.Engine.EventTokens)
		}
		if errors.Is(err, io.EOF) {
			return s.end(a)
		}
		if err != nil {
			return err
		}
	}
}

// accountMemory reserves memory for events that are longer than usual. Nothing more is read from
// the engine until the memory is available.
func (s *streamWriter) accountMemory() error {
	more := int64(s.reader.MemoryBytes()+cap(s.out)) - streamMemory - s.reserved
	if more <= 0 {
		return nil
	}
	s.reserved += more
	if err := s.reserve(more); !errors.Is(err, membudget.ErrTooLarge) {
		return err
	}
	return fmt.Errorf("%w: an event of more than %d bytes", errEndless, s.reader.MemoryBytes())
}

// startFrom prepares the writer for the stream of another engine.
func (s *streamWriter) startFrom(a *backend.Answer, from *dispatch.Server) {
	s.from, s.outOfOrderNoted, s.fromEvents = from, false, 0
	s.quietBytes, s.droppedBytes = 0, 0
	s.reader.Reset()
	s.order.SwitchRun()
	if s.started {
		return
	}
	s.started = true
	s.untyped = a.Header.Get("Content-Type") == ""
	s.plain = !s.untyped && !isEventStream(a.Header)
	copyHeader(s.w, a.Header)
	s.w.WriteHeader(a.Status)
}

// isEventStream reports whether an answer is an event stream that can be parsed.
func isEventStream(head http.Header) bool {
	kind, _, _ := strings.Cut(head.Get("Content-Type"), ";")
	encoding := head.Get("Content-Encoding")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream") && (encoding == "" || strings.EqualFold(encoding, "identity"))
}

// noteTiming records when a part of the stream arrived.
func (s *streamWriter) noteTiming(now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt = now
	} else {
		s.gap = max(s.gap, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// processPart relays the blocks that a part of the stream completes.
func (s *streamWriter) processPart(part []byte) error {
	if s.plain {
		if s.plainBytes += len(part); s.plainBytes > maxAnswer {
			return fmt.Errorf("%w: a body of more than %d bytes", errEndless, maxAnswer)
		}
		return s.write(part)
	}
	s.out = s.out[:0]
	err := s.processBlocks(part)
	if werr := s.write(s.out); werr != nil {
		return werr
	}
	return err
}

// processBlocks processes the blocks that end in a part of the stream.
func (s *streamWriter) processBlocks(part []byte) error {
	for len(part) > 0 {
		block, rest, err := s.reader.Next(part)
		if err != nil {
			return fmt.Errorf("gateway: stream: %w", err)
		}
		if block.Kind == eventstream.None {
			return nil
		}
		s.sawBlock = true
		if s.quietBytes += len(block.Raw); block.Kind == eventstream.Event {
			s.quietBytes = 0
		}
		if s.quietBytes > maxQuietBytes {
			return fmt.Errorf("%w: %d bytes without an event", errEndless, s.quietBytes)
		}
		if err := s.processBlock(block, block.Raw); err != nil {
			return err
		}
		part = rest
	}
	return nil
}

// processBlock appends the bytes of a block to the output if the block is the next one for the
// caller.
func (s *streamWriter) processBlock(block eventstream.Block, raw []byte) error {
	verdict := s.order.Check(block)
	if block.Kind == eventstream.Event {
		s.fromEvents++
	}
	if !verdict.Passes() {
		s.noteOutOfOrder(verdict)
		if verdict.Decision == eventstream.Missing {
			return fmt.Errorf("%w: %v", errEventsMissing, verdict)
		}
		if s.droppedBytes += len(raw); s.droppedBytes > maxDroppedBytes {
			return fmt.Errorf("%w: %d bytes of repeated events", errEndless, s.droppedBytes)
		}
		return nil
	}
	s.out = append(s.out, raw...)
	if block.Kind == eventstream.Event {
		s.events++
		s.droppedBytes = 0
	}
	return nil
}

// maxLoggedID bounds the length of an engine's event ID in a log line, in bytes.
const maxLoggedID = 64

// noteOutOfOrder counts an event that is out of order, and logs the first one of each engine's
// stream.
func (s *streamWriter) noteOutOfOrder(v eventstream.Verdict) {
	metric.EventsOutOfOrder.WithLabelValues(s.q.service.Name, v.Decision.String()).Inc()
	if s.outOfOrderNoted {
		return
	}
	s.outOfOrderNoted = true
	event.EventOutOfOrder.Log(s.g.log, "id", s.q.id, "server", s.from.StableName(), "verdict", v.Decision.String(), "due", v.Expected, "came", string(v.Received[:min(len(v.Received), maxLoggedID)]),
		"last", s.order.Last(), "resumed", s.q.resumed, "events", s.events)
}

// write sends bytes to the caller.
func (s *streamWriter) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	s.g.noteCarried(s.q, len(data))
	s.setWriteDeadline()
	if _, err := s.w.Write(data); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}

// setWriteDeadline bounds the time that the caller may take to read what is written next.
func (s *streamWriter) setWriteDeadline() {
	_ = s.control.SetWriteDeadline(clock.Deadline(callerTimeout))
}

// end relays the remaining bytes after an engine has ended its stream. An engine that sends no
// length may end the stream by closing its connection, and then a partial event may be the result
// of a crash.
func (s *streamWriter) end(a *backend.Answer) error {
	s.setWriteDeadline() // for the end of the answer, which may come long after the last event
	rest := append([]byte(nil), s.reader.Incomplete()...)
	if len(rest) == 0 {
		return nil
	}
	if s.untyped && !s.sawBlock {
		return s.write(rest) // not an event stream
	}
	if !a.Framed {
		return errPartialEvent
	}
	s.out = s.out[:0]
	block, _, err := s.reader.Next([]byte("\n\n"))
	if err == nil {
		err = s.processBlock(block, rest)
	}
	if werr := s.write(s.out); werr != nil {
		return werr
	}
	return err
}
