package soak

import (
	"bytes"
	"math/rand/v2"
	"sync"
)

// maxDuplicateBytes is the maximum size of an answer that may be sent again.
const maxDuplicateBytes = 16 << 10

// lastAnswer keeps the last complete answer of a connection, so that it can be sent again later.
type lastAnswer struct {
	mu       sync.Mutex
	data     []byte
	complete bool
}

// write adds bytes of an answer that is being forwarded.
func (la *lastAnswer) write(data []byte) {
	la.mu.Lock()
	defer la.mu.Unlock()
	if la.complete {
		la.data, la.complete = la.data[:0], false
	}
	if len(la.data) < maxDuplicateBytes {
		la.data = append(la.data, data...)
	}
	la.complete = isCompleteAnswer(la.data)
}

// take returns the last answer, once, if it is complete. It is called when the next request
// arrives.
func (la *lastAnswer) take() []byte {
	la.mu.Lock()
	defer la.mu.Unlock()
	if !la.complete {
		return nil
	}
	out := bytes.Clone(la.data)
	la.data, la.complete = la.data[:0], false
	return out
}

// isCompleteAnswer reports whether the bytes are a complete answer in the framing that the servers
// of a run use.
func isCompleteAnswer(data []byte) bool {
	head, body, ok := bytes.Cut(data, []byte("\r\n\r\n"))
	if !ok || len(data) >= maxDuplicateBytes {
		return false
	}
	if bytes.Contains(head, []byte("Transfer-Encoding: chunked")) {
		return bytes.HasSuffix(body, []byte("0\r\n\r\n"))
	}
	_, length, ok := bytes.Cut(head, []byte("Content-Length: "))
	if !ok {
		return false
	}
	length, _, _ = bytes.Cut(length, []byte("\r\n"))
	return eventNumber(string(length)) == len(body)
}

// setDuplicate sets whether answers are sent again.
func (p *proxy) setDuplicate(duplicate bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.duplicate = duplicate
}

// drawDuplicate draws whether an answer is sent again now.
func (p *proxy) drawDuplicate() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.duplicate && rand.IntN(2) == 0
}
