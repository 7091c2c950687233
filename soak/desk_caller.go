package soak

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Callers of resumable streams, which reconnect with the ID of their last event.
const (
	// maxDeskAttempts bounds the attempts of a caller. minAttemptTime is the time before the
	// deadline that an attempt needs at least.
	maxDeskAttempts = 6
	minAttemptTime  = 400 * time.Millisecond
	// firstEventTimeout is how long a caller waits for the first event. The wait for the next one
	// is minEventTimeout and up to eventTimeoutSpread more.
	firstEventTimeout  = 2 * time.Second
	minEventTimeout    = 250 * time.Millisecond
	eventTimeoutSpread = 1500 * time.Millisecond
	// deskDisconnectShare is the share of attempts in which the caller disconnects in the middle of
	// the stream and reconnects. bigEventShare and slowReaderShare are the shares of callers that
	// request large events and that read slowly.
	deskDisconnectShare = 0.3
	bigEventShare       = 0.03
	slowReaderShare     = 0.1
	maxReadPause        = 150 * time.Millisecond
	// slowReaderBuffer is the receive buffer of a slow reader in bytes.
	slowReaderBuffer = 4 << 10
)

// deskCaller is a caller of a resumable stream.
type deskCaller struct {
	load         *load
	rng          *rand.Rand
	name         string
	first        Request
	eventTimeout time.Duration
	maxReadSize  int
	maxReadPause time.Duration
	deadline     time.Time
	// lastID is the ID of the last event received.
	lastID string
	// began is the ID of the attempt that brought the first event.
	began string
}

// runDeskCaller runs a caller with all its attempts.
func (l *load) runDeskCaller(first Request, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 6))
	d := &deskCaller{load: l, rng: r, name: first.ID, first: first, deadline: time.Now().Add(deadlines[Desk])}
	d.eventTimeout = minEventTimeout + time.Duration(r.Float64()*float64(eventTimeoutSpread))
	d.first.Content = "desk " + first.ID + " " + l.textMarker
	d.maxReadSize = smallEventReadSize
	if r.Float64() < slowReaderShare {
		d.maxReadPause = maxReadPause
	}
	if r.Float64() < bigEventShare {
		d.first.Content, d.maxReadSize, d.maxReadPause = "desk "+first.ID+" "+bigTextMarker, bigEventReadSize, 3*d.maxReadPause
	}
	for try := 1; try <= maxDeskAttempts && time.Until(d.deadline) > minAttemptTime; try++ {
		again, pause := d.attempt(try)
		if !again || pause > 0 && l.ended.Load() {
			return
		}
		time.Sleep(pause)
	}
}

// attempt sends one request. It returns whether the caller tries again, and how long it waits first
// if it was refused; after the end of the load a refused caller does not try again.
func (d *deskCaller) attempt(try int) (again bool, pause time.Duration) {
	q := d.first
	q.Caller, q.Try, q.LastID = d.name, try, d.lastID
	if try > 1 {
		q.ID = fmt.Sprintf("%s-%d", d.name, try)
		if q.Gateway = d.pickGateway(); q.Gateway < 0 {
			return true, readinessDelay / 4
		}
	}
	remaining := time.Until(d.deadline)
	ctx, cancel := context.WithTimeout(context.Background(), remaining+time.Second)
	defer cancel()
	resp, err := d.send(ctx, &q, remaining)
	if err == nil {
		q.Status, q.RetryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
		err = d.readAnswer(&q, resp, cancel)
		_ = resp.Body.Close()
	}
	d.recordAttempt(&q, err)
	switch {
	case q.Status == http.StatusOK && err == nil, q.Status >= 400 && q.Status < 500 && q.Status != http.StatusTooManyRequests:
		return false, 0
	case q.Status == http.StatusServiceUnavailable || q.Status == http.StatusTooManyRequests:
		after, _ := parseRetryAfter(q.RetryAfter)
		return true, min(after, time.Until(d.deadline)/3)
	}
	time.Sleep(time.Duration(d.rng.Float64() * float64(40*time.Millisecond)))
	return true, 0
}

// pickGateway draws a gateway that accepts callers, or returns -1.
func (d *deskCaller) pickGateway() int {
	for range 4 {
		if n := d.rng.IntN(len(d.load.excluded)); !d.load.excluded[n].Load() {
			return n
		}
	}
	return -1
}

// send sends a request on a kept or a new connection, and disconnects if no answer starts within
// firstEventTimeout.
func (d *deskCaller) send(ctx context.Context, q *Request, remaining time.Duration) (*http.Response, error) {
	client := d.load.clients[q.Gateway]
	if q.Try > 1 && d.rng.IntN(2) == 0 || d.maxReadPause > 0 {
		readBuffer := 0
		if d.maxReadPause > 0 {
			readBuffer = slowReaderBuffer
		}
		client = newUnpooledClient(readBuffer)
	}
	ctx, cancel := context.WithCancel(ctx)
	q.Sent = d.load.rec.now()
	t := time.AfterFunc(firstEventTimeout, func() {
		d.load.rec.update(func(*History) { q.LeftAt = d.load.rec.now() })
		cancel()
	})
	req, err := d.load.newRequest(ctx, q, remaining)
	if err != nil {
		cancel()
		return nil, err
	}
	if q.LastID != "" {
		req.Header.Set(headers.LastEventID, q.LastID)
		req.Header.Set(headers.Resumes, d.began)
	}
	resp, err := client.Do(req)
	if !t.Stop() && err == nil {
		_ = resp.Body.Close()
		err = errCallerDisconnected
	}
	if err != nil {
		cancel()
		return nil, err
	}
	resp.Body = &cancelBody{resp.Body, cancel}
	return resp, nil
}

// cancelBody cancels the context of an answer when its body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancelBody) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// newUnpooledClient returns a client that opens a connection for each request. A readBuffer above
// zero sets the size of its receive buffer.
func newUnpooledClient(readBuffer int) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if tcp, ok := c.(*net.TCPConn); ok && readBuffer > 0 {
				_ = tcp.SetReadBuffer(readBuffer)
			}
			return c, err
		},
	}}
}

// readAnswer reads the events of an answer until its end or until the caller disconnects.
func (d *deskCaller) readAnswer(q *Request, resp *http.Response, cancel context.CancelFunc) error {
	if resp.StatusCode != http.StatusOK {
		body, err := readAll(resp.Body)
		q.Body = body
		return err
	}
	maxEvents := streamEvents + 1
	if d.rng.Float64() < deskDisconnectShare {
		maxEvents = d.rng.IntN(streamEvents)
	}
	disconnect := func() { d.load.rec.update(func(*History) { q.LeftAt = d.load.rec.now() }); cancel() }
	timeout := time.AfterFunc(firstEventTimeout, disconnect)
	defer timeout.Stop()
	r := &eventReader{rng: d.rng, now: d.load.rec.now, maxReadSize: d.maxReadSize, maxReadPause: d.maxReadPause}
	r.onEvent = func(e Event) bool {
		timeout.Reset(d.eventTimeout + d.maxReadPause)
		q.Events = append(q.Events, e)
		if d.lastID == "" {
			d.began = q.ID
		}
		d.lastID = e.ID
		return len(q.Events) < maxEvents
	}
	err := r.read(resp.Body)
	q.Body = string(r.body)
	if errors.Is(err, errCallerDisconnected) && timeout.Stop() {
		disconnect()
	}
	return err
}

// recordAttempt records an attempt in the history.
func (d *deskCaller) recordAttempt(q *Request, err error) {
	d.load.rec.update(func(h *History) {
		q.Ended, q.Cut = d.load.rec.now(), err != nil
		var op *net.OpError
		q.Unconnected = errors.As(err, &op) && op.Op == "dial"
		// A slow reader may reach its deadline before it has read the complete answer, and
		// disconnects then.
		if d.maxReadPause > 0 && q.LeftAt == 0 && errors.Is(err, context.DeadlineExceeded) {
			q.LeftAt = q.Ended
		}
		h.Requests = append(h.Requests, *q)
	})
}

// newRequest creates a request of a caller whose deadline is the remaining time away.
func (l *load) newRequest(ctx context.Context, q *Request, remaining time.Duration) (*http.Request, error) {
	url := "http://" + l.cluster.callerAddresses[q.Gateway] + "/" + string(q.Kind) + "/x"
	content := q.Content + strings.Repeat(" ", q.padding)
	// The custom reader keeps the standard client from retrying the request.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(strings.NewReader(content)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(content))
	req.Host = "h"
	req.Header.Set(headers.RequestID, q.ID)
	req.Header.Set(headers.Deadline, fmt.Sprint(remaining.Milliseconds()))
	req.Header.Set("Authorization", "Bearer key-"+q.Organisation)
	req.Header.Set(headers.Organisation, "forged")
	req.Header.Set(headers.Tokens, fmt.Sprintf("%d,%d", promptTokens, requestTokens-promptTokens))
	req.Header.Set(headers.LengthHint, fmt.Sprint(q.lengthHint()))
	if q.Kind.isStream() {
		parts := q.Parts
		if parts == nil {
			parts = promptOf(q)
		}
		req.Header.Set(headers.PromptParts, partsField(parts, q.ID))
	}
	return req, nil
}

// lengthHint returns the caller's estimate of the answer's length in tokens. Most estimates are too
// low, so that engines fill up.
func (r *Request) lengthHint() int {
	h := fnv.New32a()
	_, _ = io.WriteString(h, r.ID)
	return streamEvents * eventTokens * (1 + int(h.Sum32()%4)) / 4
}
