package standin

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/ledgepin/ledgepin/backend"
)

// Endless is a kind of bytes without end that a server sends in place of an answer, or after the
// beginning of one.
type Endless int

// The kinds of endless bytes.
const (
	// NotEndless: the server answers as usual.
	NotEndless Endless = iota
	EndlessStatusLine
	EndlessField
	// EndlessFields are many short fields, EndlessFolds the many lines of one.
	EndlessFields
	EndlessFolds
	// EndlessInterim are answers of status 102.
	EndlessInterim
	// EndlessOther is the body of an answer to another request.
	EndlessOther
	EndlessBody
	// EndlessTrailer are the fields after the last chunk.
	EndlessTrailer
	// EndlessComments and EndlessBlankLines are a stream without events, EndlessEvent has one that
	// does not end, and EndlessRepeats sends its first event again and again.
	EndlessComments
	EndlessBlankLines
	EndlessEvent
	EndlessRepeats
)

// EndlessHeads are the kinds with which the answer to the request never reaches its body. EndlessStreams
// are those of a stream of events.
var (
	EndlessHeads   = []Endless{EndlessStatusLine, EndlessField, EndlessFields, EndlessFolds, EndlessInterim, EndlessOther}
	EndlessStreams = []Endless{EndlessBody, EndlessComments, EndlessBlankLines, EndlessEvent, EndlessRepeats}
)

var endlessNames = [...]string{
	NotEndless: "none", EndlessStatusLine: "status line", EndlessField: "field", EndlessFields: "fields", EndlessFolds: "folds",
	EndlessInterim: "interim answers", EndlessOther: "other answer", EndlessBody: "body", EndlessTrailer: "trailer",
	EndlessComments: "comments", EndlessBlankLines: "blank lines", EndlessEvent: "event", EndlessRepeats: "repeated events",
}

// String returns the name of the kind.
func (e Endless) String() string { return endlessNames[e] }

// WithEndless returns a middleware for servers that answer with endless bytes if kind says so for a
// request. They send until the other side closes the connection.
func WithEndless(h backend.Headers, kind func(r *http.Request) Endless) func(own http.Handler) http.Handler {
	return func(own http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if e := kind(r); e != NotEndless {
				e.send(w, r, h)
				return
			}
			own.ServeHTTP(w, r)
		})
	}
}

// send sends the beginning and then the endless part until the connection breaks.
func (e Endless) send(w http.ResponseWriter, r *http.Request, h backend.Headers) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	begin, unit := e.parts(r.Header.Get(h.RequestID), h)
	if _, err := conn.Write([]byte(begin)); err != nil {
		return
	}
	part := bytes.Repeat([]byte(unit), max(16<<10/len(unit), 1))
	for err == nil {
		_, err = conn.Write(part)
	}
}

// parts returns the beginning of an endless answer and what is sent again and again after it.
func (e Endless) parts(id string, h backend.Headers) (begin, unit string) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: signed\r\n", h.Signature)
	if id != "" {
		head += fmt.Sprintf("%s: %s\r\n", h.RequestID, id)
	}
	stream := head + "Content-Type: text/event-stream\r\n\r\n"
	switch e {
	case EndlessStatusLine:
		return "HTTP/1.1 200 ", "x"
	case EndlessField:
		return head + "X-Long: ", "x"
	case EndlessFields:
		return head, "X-Many: x\r\n"
	case EndlessFolds:
		return head + "X-Folded: x\r\n", " x\r\n"
	case EndlessInterim:
		return "", "HTTP/1.1 102 Processing\r\n\r\n"
	case EndlessOther:
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: signed\r\n%s: another\r\n\r\n", h.Signature, h.RequestID), "x"
	case EndlessTrailer:
		return head + "Trailer: X-Many\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-Many: x\r\n"
	case EndlessComments:
		return stream, ": still here\n\n"
	case EndlessBlankLines:
		return stream, "\n"
	case EndlessEvent:
		return stream + "id: 1\ndata: ", "x"
	case EndlessRepeats:
		return stream, "id: 1\ndata: event 1\n\n"
	}
	return head + "\r\n", "x"
}
