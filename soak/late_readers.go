package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/standin"
)

const (
	// longBodyBytes is the size of a request's body that exceeds the buffers of its connections.
	longBodyBytes = 4 << 20
	// longBodyInterval is the time between two such requests.
	longBodyInterval = 300 * time.Millisecond
	// earlyAnswerBytes is the size of the answer that a server begins before it reads such a body.
	earlyAnswerBytes = 8000
	// maxReadDelay is the longest time for which a server reads nothing of such a body.
	maxReadDelay = 2400 * time.Millisecond
	// proxyBuffer is the size in bytes of a proxy's buffers for what clients send, so that a long body
	// that the server doesn't read stays with its client.
	proxyBuffer = 32 << 10
)

// sendLongBodies sends requests with long bodies to all gateways in turn, one after the other, until
// the context ends.
func (l *load) sendLongBodies(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		gateway := n % l.cluster.shape.Gateways
		q := Request{ID: fmt.Sprint("long-", n), Kind: Checkout, Gateway: gateway, Organisation: "one", Content: standin.LargeAnswerBody(earlyAnswerBytes), padding: longBodyBytes}
		if !l.excluded[gateway].Load() {
			l.send(&q, false, 0)
			l.rec.update(func(h *History) { h.Requests = append(h.Requests, q) })
		}
		sleep(ctx, longBodyInterval)
	}
}

// earlyAnswer is what a server does that answers before it reads a long body.
type earlyAnswer int

const (
	readsLate        earlyAnswer = iota // it reads the body and sends the second half of the answer
	endsThenReads                       // it sends all of the answer, ends its side and reads the body
	resetsUnread                        // it resets the connection after half of the answer
	closesUnread                        // it closes the connection after half of the answer
	earlyAnswerKinds                    // the number of kinds
)

// answerEarly answers a request without a length before it reads the body.
func (d *disturber) answerEarly(w http.ResponseWriter, r *http.Request, next http.Handler) {
	d.mu.Lock()
	kind, delay := earlyAnswer(d.rng.IntN(int(earlyAnswerKinds))), time.Duration(d.rng.Int64N(int64(maxReadDelay)))
	d.mu.Unlock()
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	answer := &bufferedAnswer{header: w.Header(), status: http.StatusOK}
	short := r.WithContext(r.Context())
	short.Body = io.NopCloser(strings.NewReader(standin.LargeAnswerBody(earlyAnswerBytes)))
	next.ServeHTTP(answer, short)
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", answer.status, http.StatusText(answer.status))
	_ = answer.header.Write(&out)
	out.WriteString("Connection: close\r\n\r\n")
	body := answer.body.Bytes()
	half := body[:len(body)/2]
	if kind == endsThenReads {
		half = body
	}
	out.Write(half)
	if _, err := conn.Write(out.Bytes()); err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok && kind == endsThenReads {
		_ = tcp.CloseWrite()
	}
	time.Sleep(delay)
	switch kind {
	case resetsUnread:
		setReset(conn)
	case closesUnread:
	default:
		if _, err := io.CopyN(io.Discard, buffered, r.ContentLength); err == nil {
			_, _ = conn.Write(body[len(half):])
		}
	}
}
