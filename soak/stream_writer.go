package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// form writes a stream in another form, or breaks it.
type streamWriter struct {
	http.ResponseWriter
	// breakAt is the number of bytes after which the stream breaks; below zero if it does
	// not. Closes tells that it is closed there and not reset, if it is in the middle of an
	// event; lingers tells that the run goes on for a while, as at an engine that notices
	// late that nobody reads.
	breakAt                        int
	closeAtBreak, lingerAfterBreak bool
	// unframed has the end of the connection be that of the stream, length has the length
	// told if it is above zero.
	closeDelimited bool
	contentLength  int

	responseStarted, broken bool
	brokenAt                time.Time
	written                 int
	conn                    net.Conn
	buf                     *bufio.ReadWriter
}

// lingerTime is how long a run goes on at most that nobody reads.
const lingerTime = 300 * time.Millisecond

// Unwrap lets the server's controls through.
func (sw *streamWriter) Unwrap() http.ResponseWriter { return sw.ResponseWriter }

// FlushError sends what was written.
func (sw *streamWriter) FlushError() error {
	switch {
	case sw.broken:
		return nil
	case sw.buf != nil:
		return sw.buf.Flush()
	}
	return http.NewResponseController(sw.ResponseWriter).Flush()
}

// start writes the head, if the answer is a run's.
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
		panic(http.ErrAbortHandler) // nobody reads any more
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

// breakOff breaks the stream after a part of an event.
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

// end closes a stream without a frame: well, or with a reset if its run was stopped.
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

// resetAnswer resets the connection in place of an answer.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	setReset(conn)
	_ = conn.Close()
}
