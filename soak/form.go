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
type form struct {
	http.ResponseWriter
	// breakAt is the number of bytes after which the stream breaks; below zero if it does
	// not. Closes tells that it is closed there and not reset, if it is in the middle of an
	// event; lingers tells that the run goes on for a while, as at an engine that notices
	// late that nobody reads.
	breakAt         int
	closes, lingers bool
	// unframed has the end of the connection be that of the stream, length has the length
	// told if it is above zero.
	unframed bool
	length   int

	started, broken bool
	brokenAt        time.Time
	written         int
	conn            net.Conn
	out             *bufio.ReadWriter
}

// lingerTime is how long a run goes on at most that nobody reads.
const lingerTime = 300 * time.Millisecond

// Unwrap lets the server's controls through.
func (f *form) Unwrap() http.ResponseWriter { return f.ResponseWriter }

// FlushError sends what was written.
func (f *form) FlushError() error {
	switch {
	case f.broken:
		return nil
	case f.out != nil:
		return f.out.Flush()
	}
	return http.NewResponseController(f.ResponseWriter).Flush()
}

// start writes the head, if the answer is a run's.
func (f *form) start() {
	f.started = true
	if f.Header().Get(headers.Signature) == "" {
		f.breakAt, f.unframed, f.length = -1, false, 0
		return
	}
	if f.length > 0 {
		f.Header().Set("Content-Length", fmt.Sprint(f.length))
	}
	if !f.unframed {
		return
	}
	conn, out, err := http.NewResponseController(f.ResponseWriter).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	f.conn, f.out = conn, out
	fmt.Fprint(out, "HTTP/1.1 200 OK\r\n")
	_ = f.Header().Write(out)
	fmt.Fprint(out, "Connection: close\r\n\r\n")
}

// Write implements http.ResponseWriter.
func (f *form) Write(p []byte) (int, error) {
	if !f.started {
		f.start()
	}
	if f.broken {
		if time.Since(f.brokenAt) > lingerTime {
			panic(http.ErrAbortHandler)
		}
		return len(p), nil
	}
	whole := len(p)
	breaks := f.breakAt >= 0 && f.written+len(p) > f.breakAt
	if breaks {
		p = p[:f.breakAt-f.written]
	}
	n, err := f.writer().Write(p)
	f.written += n
	if err != nil {
		panic(http.ErrAbortHandler) // nobody reads any more
	}
	if breaks {
		f.breakOff(p)
	}
	return whole, nil
}

func (f *form) writer() io.Writer {
	if f.out != nil {
		return f.out
	}
	return f.ResponseWriter
}

// breakOff breaks the stream after a part of an event.
func (f *form) breakOff(part []byte) {
	_ = f.FlushError()
	f.broken, f.brokenAt = true, time.Now()
	f.hijack()
	if f.conn != nil {
		if !f.closes || len(part) == 0 {
			setReset(f.conn)
		}
		_ = f.conn.Close()
	}
	if !f.lingers {
		panic(http.ErrAbortHandler)
	}
}

func (f *form) hijack() {
	if f.conn == nil {
		f.conn, _, _ = http.NewResponseController(f.ResponseWriter).Hijack()
	}
}

// end closes a stream without a frame: well, or with a reset if its run was stopped.
func (f *form) end() {
	aborted := recover()
	if f.conn != nil && !f.broken {
		_ = f.out.Flush()
		if aborted != nil {
			setReset(f.conn)
		}
		_ = f.conn.Close()
	}
	if aborted != nil && f.conn == nil {
		panic(aborted)
	}
}

// resetAnswer resets the connection in place of an answer.
func resetAnswer(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	setReset(conn)
	_ = conn.Close()
}
