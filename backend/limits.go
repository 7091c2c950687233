package backend

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
)

// A server may send bytes that are no answer, without end. These limits bound what they cost a
// gateway: a head and the answer to a call are kept in memory, the answer to another request only
// takes time. Beyond a limit the exchange fails as if the server had broken it off.
const (
	// maxHeadBytes and maxHeadLines bound the status line and the header fields of an answer. Short
	// fields take several times their length in memory.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
	// maxSkippedBytes bounds the answers to other requests that are skipped for one request.
	maxSkippedBytes = 1 << 20
	// MaxCallBytes bounds the answer to a call: an identifier, a state or an error.
	MaxCallBytes = 64 << 10
)

// ErrTooLong means that a server has sent more than an answer may have.
var ErrTooLong = errors.New("backend: the server sends more than an answer may have")

// headLimit counts the bytes of a head as they arrive.
type headLimit struct {
	bytes, lines int
	// lineBytes is the length of the line in progress, lastByte its last byte.
	lineBytes int
	lastByte  byte
	// ended is set after the blank line that ends the head.
	ended bool
}

// add counts bytes, and returns an error once they exceed the limits. Bytes after the head count
// for nothing.
func (h *headLimit) add(p []byte) error {
	for len(p) > 0 && !h.ended {
		n := bytes.IndexByte(p, '\n') + 1
		if n == 0 {
			h.count(p)
			break
		}
		h.count(p[:n-1])
		// Only an empty line ends a head for certain: one of spaces may continue a field.
		h.ended = h.lineBytes == 0 || h.lineBytes == 1 && h.lastByte == '\r'
		h.bytes, h.lines, h.lineBytes = h.bytes+1, h.lines+1, 0
		p = p[n:]
	}
	if h.bytes > maxHeadBytes || h.lines > maxHeadLines {
		return fmt.Errorf("%w: a head of more than %d bytes or %d lines", ErrTooLong, maxHeadBytes, maxHeadLines)
	}
	return nil
}

// count adds a part of a line.
func (h *headLimit) count(part []byte) {
	if len(part) > 0 {
		h.bytes, h.lineBytes, h.lastByte = h.bytes+len(part), h.lineBytes+len(part), part[len(part)-1]
	}
}

// Read reads from the connection, and no more of a head than the limits allow.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.head != nil {
		if lerr := c.head.add(p[:n]); lerr != nil {
			return 0, lerr
		}
	}
	return n, err
}

// readHead reads the head of the next answer. The body is read later.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	c.head = &headLimit{}
	defer func() { c.head = nil }()
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err == nil {
		err = c.head.add(buffered)
	}
	if err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, request)
}
