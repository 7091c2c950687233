package soak

import (
	"bytes"
	"math/rand/v2"
	"sync"
)

// mostAgain bounds an answer that may come again.
const maxDuplicateBytes = 16 << 10

// answers keeps the last whole answer of a connection, for it to come again late.
type lastAnswer struct {
	mu       sync.Mutex
	data     []byte
	complete bool
}

// note takes a part of an answer on its way.
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

// again returns the last answer, once, if it is whole: what comes now is the next request.
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

// wholeAnswer tells whether bytes are an answer with its end, as the servers of a run write
// them.
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

// second sets whether answers come again.
func (p *proxy) setDuplicate(duplicate bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.duplicate = duplicate
}

// sendsAgain draws whether an answer comes again now.
func (p *proxy) drawDuplicate() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.duplicate && rand.IntN(2) == 0
}
