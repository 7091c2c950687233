package backend

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Pool keeps the connections of one gateway, by server address.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	open   map[string]int
	closed bool
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*conn{}, open: map[string]int{}} }

// ErrFull tells that the gateway has as many connections to the server as it
// may have.
var ErrFull = errors.New("backend: all connections to the server are in use")

// get returns an idle connection or opens one. Fresh asks for a new one.
func (p *Pool) get(ctx context.Context, address string, limit int, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.takeIdle(address); c != nil {
			return c, nil
		}
	}
	p.mu.Lock()
	if limit > 0 && p.open[address] >= limit {
		p.mu.Unlock()
		if c := p.takeIdle(address); c != nil {
			return c, nil
		}
		return nil, ErrFull
	}
	p.open[address]++
	p.mu.Unlock()
	c, err := dial(ctx, address)
	if err != nil {
		p.forget(address)
		return nil, err
	}
	if fresh && !c.taken() {
		p.drop(address, c)
		return nil, errNotTaken
	}
	return c, nil
}

// errNotTaken tells that a server closed a new connection before anything was
// sent, as it does when it has too many.
var errNotTaken = errors.New("backend: the server closed the new connection")

// Reach opens a connection to a server and closes it again, which tells whether the server
// is there.
func Reach(ctx context.Context, address string) error {
	c, err := dial(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}

// takeIdle returns the connection that was used last and is still good.
func (p *Pool) takeIdle(address string) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Before(c.idleUntil) && c.quiet() {
			return c
		}
		p.drop(address, c)
	}
}

// put keeps a connection for later requests.
func (p *Pool) put(address string, c *conn, keep time.Duration) {
	c.idleUntil = time.Now().Add(keep)
	c.uses++
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	if p.closed || keep <= 0 {
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

// Sweep closes idle connections whose time is over.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
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

// Forget closes the idle connections to a server.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		p.drop(address, c)
	}
}

// Close closes all idle connections and keeps none from now on.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Sweep(time.Now().Add(24 * time.Hour))
}
