package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/standin"
)

// duplicatingProxy is a proxy in front of an engine that sends some of its answers a second time,
// late: where the answer to the next request on the connection is due. Optional fields are set
// before any request is sent.
type duplicatingProxy struct {
	engine *standin.Backend
	ln     net.Listener
	// shouldDuplicate reports whether the answer to a request is sent again before the answer to
	// the next request on its connection. This happens once per proxy. If delayAnswer is set, the
	// correct answer is delayed until a further request has arrived.
	shouldDuplicate func(before, now *proxiedRequest) bool
	delayAnswer     bool
	// delayRequest is set if the engine gets the request in whose place the duplicate comes only
	// once a further request has arrived.
	delayRequest bool
	// closesConn reports whether the answer to a request ends its connection.
	closesConn func(now *proxiedRequest) bool
	// onRequest is called with a request before the engine gets it, onInterrupted with one whose
	// answer was interrupted, before the gateway can notice that.
	onRequest, onInterrupted func(now *proxiedRequest)

	mu sync.Mutex
	// duplicated is the request whose answer was sent again.
	duplicated *proxiedRequest
	requests   []*proxiedRequest
}

// proxiedRequest is a request that the proxy has received.
type proxiedRequest struct {
	method, path, id, body, hold string
	// status is the status of its answer, 0 while there is none. answer is the complete answer, if
	// it has a length.
	status int
	answer string
}

func (p *proxiedRequest) isHold() bool {
	return p.method == http.MethodPost && p.path == standin.HoldPath
}

func (p *proxiedRequest) isCopy(stop bool) bool {
	return p.path == standin.CopyPath && strings.Contains(p.body, fmt.Sprintf(`"stop":%v`, stop))
}

// isFor reports whether a call for a copy is for the run of a request.
func (p *proxiedRequest) isFor(id string) bool { return strings.Contains(p.body, `"id":"`+id+`"`) }

// Bounds of the delay of an answer, or of a request, while no further request arrives. No result of
// a test depends on them.
const (
	maxAnswerDelay  = 60 * time.Millisecond
	maxRequestDelay = 5 * time.Second
)

// awaitNext waits until a request or an error arrives on a connection, and leaves it there.
func awaitNext(next chan error, d time.Duration) {
	select {
	case err := <-next:
		next <- err
	case <-time.After(d):
	}
}

// addBehindProxy starts an engine and registers it under the address of a proxy in front of it.
func (h *harness) addBehindProxy(service, id, role string) *duplicatingProxy {
	h.t.Helper()
	b, err := h.group.StartBackend("127.0.0.1:0", id, role, protocol.Headers)
	assert.NilError(h.t, err)
	h.t.Cleanup(b.Kill)
	h.servers[id] = b
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(h.t, err)
	h.t.Cleanup(func() { _ = ln.Close() })
	d := &duplicatingProxy{engine: b, ln: ln}
	h.group.Alias(ln.Addr().String(), b)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	h.register(service, id, ln.Addr().String(), role)
	return d
}

// find returns the first request for which a condition holds; nil if there is none.
func (d *duplicatingProxy) find(cond func(p *proxiedRequest) bool) *proxiedRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.requests {
		if cond(p) {
			return p
		}
	}
	return nil
}

// duplicatesNow reports whether the answer to a request has to be sent again now, and records that
// it was.
func (d *duplicatingProxy) duplicatesNow(before, now *proxiedRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.duplicated != nil || before == nil || before.answer == "" || d.shouldDuplicate == nil || !d.shouldDuplicate(before, now) {
		return false
	}
	d.duplicated = before
	return true
}

func (d *duplicatingProxy) serve(c net.Conn) {
	defer c.Close()
	engine, err := net.Dial("tcp", d.engine.Addr())
	if err != nil {
		return
	}
	defer engine.Close()
	br, er := bufio.NewReader(c), bufio.NewReader(engine)
	var last *proxiedRequest
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		raw, err := httputil.DumpRequest(req, true)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		headers := protocol.Headers
		now := &proxiedRequest{method: req.Method, path: req.URL.Path, id: req.Header.Get(headers.RequestID), body: string(body), hold: req.Header.Get(headers.Hold)}
		d.mu.Lock()
		d.requests = append(d.requests, now)
		d.mu.Unlock()
		if d.onRequest != nil {
			d.onRequest(now)
		}
		next := make(chan error, 1)
		go func() {
			_, err := br.Peek(1)
			if err != nil {
				_ = engine.Close() // the gateway has closed the connection
			}
			next <- err
		}()
		duplicate := d.duplicatesNow(last, now)
		if duplicate && d.delayRequest {
			_, _ = io.WriteString(c, last.answer)
			awaitNext(next, maxRequestDelay)
		}
		if _, err := engine.Write(raw); err != nil {
			return
		}
		resp, err := http.ReadResponse(er, req)
		if err != nil {
			return
		}
		if duplicate && !d.delayRequest {
			_, _ = io.WriteString(c, last.answer)
		}
		if duplicate && d.delayAnswer {
			awaitNext(next, maxAnswerDelay)
		}
		closes := d.closesConn != nil && d.closesConn(now)
		if !d.relay(c, resp, now, closes) {
			if d.onInterrupted != nil {
				d.onInterrupted(now)
			}
			return
		}
		if closes || <-next != nil {
			return
		}
		last = now
	}
}

// relay relays an answer; it returns false if the answer was interrupted.
func (d *duplicatingProxy) relay(c net.Conn, resp *http.Response, now *proxiedRequest, closes bool) bool {
	d.mu.Lock()
	now.status = resp.StatusCode
	d.mu.Unlock()
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d x\r\nKeep-Alive: timeout=60\r\n", resp.StatusCode)
	if closes {
		out.WriteString("Connection: close\r\n")
	}
	if now.id == "" {
		resp.Header.Del(protocol.Headers.RequestID) // the request had none
	}
	_ = resp.Header.WriteSubset(&out, map[string]bool{"Transfer-Encoding": true, "Content-Length": true, "Date": true})
	if resp.ContentLength >= 0 {
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return false
		}
		fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(body), body)
		now.answer = out.String()
		_, err = c.Write(out.Bytes())
		return err == nil
	}
	out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	if _, err := c.Write(out.Bytes()); err != nil {
		return false
	}
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", n, buf[:n]); err != nil {
				return false
			}
		}
		switch err {
		case nil:
		case io.EOF:
			_, err := io.WriteString(c, "0\r\n\r\n")
			return err == nil
		default:
			return false
		}
	}
}

// logDuplicated logs whether an answer was sent again: none is if no connection is reused.
func (d *duplicatingProxy) logDuplicated(t *testing.T) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.duplicated == nil {
		t.Log("no answer was duplicated")
		return
	}
	t.Logf("the answer to %s %s %s was duplicated: status %d", d.duplicated.method, d.duplicated.path, d.duplicated.id, d.duplicated.status)
}

// runsOfRequest returns the number of runs of a request at all engines together. A run that
// continues from its copy is not counted again.
func (h *harness) runsOfRequest(id string) int {
	n := 0
	for _, b := range h.servers {
		for _, a := range b.Arrivals() {
			if a.ID == id && a.Ran && !a.Continues {
				n++
			}
		}
	}
	return n
}

// foreignCopies returns the requests that were sent to an engine with the copy of another request's
// run.
func (h *harness) foreignCopies() []string {
	var out []string
	for _, b := range h.servers {
		for _, a := range b.Arrivals() {
			if a.Mixed {
				out = append(out, fmt.Sprintf("%s with %s at %s (ran: %v)", a.ID, a.Header.Get(protocol.Headers.KVSource), b.ID, a.Ran))
			}
		}
	}
	return out
}

// waitUntil waits until a condition holds.
func (h *harness) waitUntil(what string, cond func() bool) {
	h.t.Helper()
	(&migratingRun{harness: h}).waitFor(what, cond)
}
