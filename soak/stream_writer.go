package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// streamWriter writes a stream in another framing, or breaks it.
type streamWriter struct {
	http.ResponseWriter
	// breakAt is the number of bytes after which the stream breaks, negative if it does not. With
	// closeAtBreak, a stream that breaks in the middle of an event is closed instead of reset. With
	// lingerAfterBreak, the run continues for a while, as at an engine that notices late that its
	// caller disconnected.
	breakAt                        int
	closeAtBreak, lingerAfterBreak bool
	// closeDelimited makes the end of the connection end the stream. A contentLength above zero is
	// sent as Content-Length.
	closeDelimited bool
	contentLength  int

	responseStarted, broken bool
	brokenAt                time.Time
	written                 int
	conn                    net.Conn
	buf                     *bufio.ReadWriter
}

// lingerTime is the longest time for which a run continues after its stream broke.
const lingerTime = 300 * time.Millisecond

// Unwrap gives http.ResponseController access to the wrapped writer.
func (sw *streamWriter) Unwrap() http.ResponseWriter { return sw.ResponseWriter }

// FlushError sends buffered data.
func (sw *streamWriter) FlushError() error {
	switch {
	case sw.broken:
		return nil
	case sw.buf != nil:
		return sw.buf.Flush()
	}
	return http.NewResponseController(sw.ResponseWriter).Flush()
}

// startResponse sets the framing and writes the header if needed. An answer that is not a run's
// stays as it is.
func (sw *streamWriter) startResponse() {
	sw.responseStarted = true
	if sw.Header().Get(headers.Signature) == "" {
		sw.breakAt, sw.closeDelimited, sw.contentLength = -1, false, 0
		return
	}
	if sw.contentLength > 0 {
		sw.Header().Set("Content-Length", fmt.Sprint(sw.contentLength))
	}
	if !sw.closeDelimited {
		return
	}
	conn, out, err := http.NewResponseController(sw.ResponseWriter).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	sw.conn, sw.buf = conn, out
	fmt.Fprint(out, "HTTP/1.1 200 OK\r\n")
	_ = sw.Header().Write(out)
	fmt.Fprint(out, "Connection: close\r\n\r\n")
}

// Write implements http.ResponseWriter.
func (sw *streamWriter) Write(p []byte) (int, error) {
	if !sw.responseStarted {
		sw.startResponse()
	}
	if sw.broken {
		if time.Since(sw.brokenAt) > lingerTime {
			panic(http.ErrAbortHandler)
		}
		return len(p), nil
	}
	size := len(p)
	breaks := sw.breakAt >= 0 && sw.written+len(p) > sw.breakAt
	if breaks {
		p = p[:sw.breakAt-sw.written]
	}
	n, err := sw.writer().Write(p)
	sw.written += n
	if err != nil {
		panic(http.ErrAbortHandler) // the connection is closed
	}
	if breaks {
		sw.breakStream(p)
	}
	return size, nil
}

func (sw *streamWriter) writer() io.Writer {
	if sw.buf != nil {
		return sw.buf
	}
	return sw.ResponseWriter
}

// breakStream breaks the stream in the middle of an event.
func (sw *streamWriter) breakStream(rest []byte) {
	_ = sw.FlushError()
	sw.broken, sw.brokenAt = true, time.Now()
	sw.hijack()
	if sw.conn != nil {
		if !sw.closeAtBreak || len(rest) == 0 {
			setReset(sw.conn)
		}
		_ = sw.conn.Close()
	}
	if !sw.lingerAfterBreak {
		panic(http.ErrAbortHandler)
	}
}

func (sw *streamWriter) hijack() {
	if sw.conn == nil {
		sw.conn, _, _ = http.NewResponseController(sw.ResponseWriter).Hijack()
	}
}

// finish closes a close-delimited stream, with a reset if its run was aborted.
func (sw *streamWriter) finish() {
	aborted := recover()
	if sw.conn != nil && !sw.broken {
		_ = sw.buf.Flush()
		if aborted != nil {
			setReset(sw.conn)
		}
		_ = sw.conn.Close()
	}
	if aborted != nil && sw.conn == nil {
		panic(aborted)
	}
}

// resetConnection resets the connection instead of answering.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	setReset(conn)
	_ = conn.Close()
}
