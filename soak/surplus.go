package soak

import (
	"bytes"
	"math/rand/v2"
	"sync"
)

// mostAgain bounds an answer that may come again.
const mostAgain = 16 << 10

// answers keeps the last whole answer of a connection, for it to come again late.
type answers struct {
	mu    sync.Mutex
	last  []byte
	whole bool
}

// note takes a part of an answer on its way.
func (a *answers) note(data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.whole {
		a.last, a.whole = a.last[:0], false
	}
	if len(a.last) < mostAgain {
		a.last = append(a.last, data...)
	}
	a.whole = wholeAnswer(a.last)
}

// again returns the last answer, once, if it is whole: what comes now is the next request.
func (a *answers) again() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.whole {
		return nil
	}
	out := bytes.Clone(a.last)
	a.last, a.whole = a.last[:0], false
	return out
}

// wholeAnswer tells whether bytes are an answer with its end, as the servers of a run write
// them.
func wholeAnswer(data []byte) bool {
	head, body, ok := bytes.Cut(data, []byte("\r\n\r\n"))
	if !ok || len(data) >= mostAgain {
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
	return numberOf(string(length)) == len(body)
}

// second sets whether answers come again.
func (p *proxy) second(surplus bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.surplus = surplus
}

// sendsAgain draws whether an answer comes again now.
func (p *proxy) sendsAgain() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.surplus && rand.IntN(2) == 0
}
