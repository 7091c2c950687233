package backend

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/internal/sock"
	"github.com/ledgepin/ledgepin/metric"
)

// Pool holds the connections of one gateway, by server address.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int
	// busy are the connections with a request in progress, by the incarnation of their server.
	busy map[string]map[*conn]bool
	// lastEcho is when each incarnation last sent an answer with the ID of its request.
	lastEcho map[string]time.Time
	// unidentified is when the answer to a call of each incarnation was last skipped, perhaps
	// wrongly, on a kept connection.
	unidentified map[string]time.Time
	closed       bool
	// Dial opens connections; nil for TCP.
	Dial sock.DialFunc
	// OwnDelay, if set, returns how long a round trip waits in the gateway itself. Connections may take
	// that much longer to open.
	OwnDelay func() time.Duration
	// OnConnectTimeout, if set, receives the time after which opening a connection to an incarnation
	// was given up.
	OnConnectTimeout func(server string, after time.Duration)
	// OnConnect, if set, receives the time that opening a connection to an incarnation took.
	OnConnect func(server string, took time.Duration)
	// Admit, if set, counts the request, or returns why the server accepts none now,
	// ErrLimited or ErrPaused.
	Admit func(r *Request) error
	// OnAnswer, if set, receives the status and header of each answer of an incarnation, and
	// the time since its request was sent.
	OnAnswer func(server string, ago time.Duration, status int, head http.Header)
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: map[string][]*conn{}, open: map[string]int{}, busy: map[string]map[*conn]bool{}, lastEcho: map[string]time.Time{}, unidentified: map[string]time.Time{}}
}

// ErrFull is returned if the gateway has the maximum number of connections to the server.
var ErrFull = errors.New("backend: all connections to the server are in use")

// ErrLimited is returned if the rate limit that the server reported is used up.
var ErrLimited = errors.New("backend: the server's rate limit is used up")

// ErrPaused is returned during a pause that the server has requested.
var ErrPaused = errors.New("backend: the server has asked for a pause")

// ErrEnded is returned if the request ended before it was sent: its caller disconnected, or
// its deadline has passed.
var ErrEnded = errors.New("backend: the request ended before it was sent")

// Causes of new connections.
const (
	// causeOnce: the request may run only once, and a kept connection may break in a way that
	// leaves it unknown whether it has run.
	causeOnce = "once"
	// causeNoID: the call has no ID, so it is the first on its connection.
	causeNoID = "no_id"
	// causeSameID: each idle connection has carried a request with the same ID, or a call after
	// which the answer to this one could not be distinguished.
	causeSameID = "same_id"
	// causeNoneIdle: no connection was idle.
	causeNoneIdle = "none_idle"
)

// cause returns why a request gets a new connection.
func (p *Pool) cause(r *Request) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case r.NewConnection:
		return causeOnce
	case r.needsUnused():
		return causeNoID
	case len(p.idle[r.Address]) > 0:
		return causeSameID
	}
	return causeNoneIdle
}

// kind returns the kind of a request, as used in metrics.
func (r *Request) kind() string {
	switch {
	case r.Identity != nil:
		return r.Identity.Kind
	case r.ID == "":
		return "call"
	case r.NewConnection:
		return "once"
	}
	return "request"
}

// get returns an idle connection that may carry r, or opens one.
func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	if c := p.takeIdle(r); c != nil {
		return c, nil
	}
	cause := p.cause(r)
	if !p.reserveConnection(r) {
		if c := p.takeIdle(r); c != nil {
			return c, nil
		}
		return nil, ErrFull
	}
	started := clock.VM.Now()
	c, err := p.dial(ctx, r.Address)
	if err != nil {
		if p.OnConnectTimeout != nil && isTimeout(err) && ctx.Err() == nil {
			p.OnConnectTimeout(r.Server, clock.VM.Now().Sub(started))
		}
		p.suspect(r.Address)
		p.forget(r.Address)
		return nil, err
	}
	if p.OnConnect != nil {
		p.OnConnect(r.Server, clock.VM.Now().Sub(started))
	}
	metric.ServerConnections.WithLabelValues(cause).Inc()
	if r.NewConnection && !c.wasAccepted() {
		p.drop(r.Address, c)
		return nil, errNotAccepted
	}
	return c, nil
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	limit, open := DialTimeout, p.Dial
	if p.OwnDelay != nil {
		limit = min(limit+p.OwnDelay(), maxDialTimeout)
	}
	if open == nil {
		open = dialer.DialContext
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return dial(ctx, open, address)
}

// reserveConnection counts a new connection to a server and reports whether the limit allows
// it. If the limit is reached, an idle connection that may not carry the request is closed, so
// that a new one is allowed.
func (p *Pool) reserveConnection(r *Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	full := r.MaxConnections > 0 && p.open[r.Address] >= r.MaxConnections
	if idle := p.idle[r.Address]; full && len(idle) > 0 && (r.NewConnection || !idle[0].canCarry(r)) {
		p.idle[r.Address] = idle[1:]
		p.open[r.Address]--
		_ = idle[0].Close()
		full = false
	}
	if !full {
		p.open[r.Address]++
	}
	return !full
}

// errNotAccepted is returned if a server closed a new connection before anything was
// sent, as it does when it has too many.
var errNotAccepted = errors.New("backend: the server closed the new connection")

// echoTTL is how long a server counts as sending IDs after its last answer with an ID.
const echoTTL = 10 * time.Minute

// recordEcho records that an incarnation sent an answer with the ID of its request;
// echoesIDs reports whether one did so within echoTTL.
func (p *Pool) recordEcho(server string) {
	if server == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEcho[server] = clock.VM.Now()
}

func (p *Pool) echoesIDs(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.lastEcho[server]
	return ok && clock.VM.Now().Sub(at) < echoTTL
}

// recordUnidentified records that a call to an incarnation failed on a kept connection after an
// answer was skipped: the server may generate the same identifier twice, or add request IDs of
// its own to its answers. identifiesCalls reports whether none failed so within echoTTL.
func (p *Pool) recordUnidentified(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unidentified[server] = clock.VM.Now()
}

func (p *Pool) identifiesCalls(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.unidentified[server]
	return !ok || clock.VM.Now().Sub(at) >= echoTTL
}

// Probe opens a connection to a server and closes it again, to check that the server is
// reachable.
func Probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	c, err := dial(ctx, dialer.DialContext, address)
	if err != nil {
		return err
	}
	return c.Close()
}

// takeIdle removes and returns the most recently used idle connection that is still usable
// and may carry r.
func (p *Pool) takeIdle(r *Request) *conn {
	now := clock.VM.Now()
	for {
		c := p.takeLastIdle(r)
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && c.isQuiet() {
			return c
		}
		p.drop(r.Address, c)
		if r.NewConnection {
			return nil // the server may be closing all its connections
		}
	}
}

// takeLastIdle removes and returns the most recently used connection that may carry r.
func (p *Pool) takeLastIdle(r *Request) *conn {
	now := clock.VM.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[r.Address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; c.canCarry(r) && (!r.NewConnection || c.answeredWithin(now, r.CleanWithin)) {
			p.idle[r.Address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// HasClean reports whether an idle connection to a server has carried an answer within a time,
// and no exchange with the server has failed since.
func (p *Pool) HasClean(address string, within time.Duration) bool {
	now := clock.VM.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[address], func(c *conn) bool {
		return now.Before(c.idleUntil) && c.answeredWithin(now, within)
	})
}

// suspect records that an exchange with a server failed.
func (p *Pool) suspect(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.answeredAt = time.Time{}
	}
}

// put keeps a connection for later requests.
func (p *Pool) put(address string, c *conn, keep time.Duration) {
	c.answeredAt = clock.VM.Now()
	c.idleUntil = c.answeredAt.Add(keep)
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	if p.closed || keep <= 0 || len(c.requestIDs) >= maxRequestIDs {
		p.mu.Unlock()
		p.drop(address, c)
		return
	}
	p.idle[address] = append(p.idle[address], c)
	p.mu.Unlock()
}

// putUnused returns a connection that nothing was sent on since get.
func (p *Pool) putUnused(address string, c *conn) {
	if len(c.requestIDs) == 0 || clock.VM.Now().After(c.idleUntil) {
		p.drop(address, c)
		return
	}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.drop(address, c)
		return
	}
	p.idle[address] = append(p.idle[address], c)
	p.mu.Unlock()
}

func (p *Pool) drop(address string, c *conn) {
	_ = c.Close()
	p.forget(address)
}

func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]--
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// Sweep closes idle connections whose time has expired.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	for _, times := range []map[string]time.Time{p.lastEcho, p.unidentified} {
		for server, at := range times {
			if now.Sub(at) >= echoTTL {
				delete(times, server)
			}
		}
	}
	var old []*conn
	var from []string
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			old, from = append(old, c), append(from, address)
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for i, c := range old {
		p.drop(from[i], c)
	}
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		p.drop(address, c)
	}
}

// markBusy records that a connection has a request in progress, markIdle that it has none.
func (p *Pool) markBusy(server string, c *conn) {
	if server == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[server] == nil {
		p.busy[server] = map[*conn]bool{}
	}
	p.busy[server][c] = true
}

func (p *Pool) markIdle(server string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy[server], c)
	if len(p.busy[server]) == 0 {
		delete(p.busy, server)
	}
}

// EndIncarnation closes the connections to an incarnation that has ended: idle ones to its
// address, and those with requests in progress, which fail as if the server's VM had still
// been there to reset them.
func (p *Pool) EndIncarnation(server, address string) {
	p.mu.Lock()
	var busy []*conn
	for c := range p.busy[server] {
		busy = append(busy, c)
	}
	p.mu.Unlock()
	for _, c := range busy {
		_ = c.Close()
	}
	p.CloseIdle(address)
}

// Close closes all idle connections; the pool keeps no more after that.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Sweep(clock.VM.Now().Add(24 * time.Hour))
}
