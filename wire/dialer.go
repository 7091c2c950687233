package wire

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/retry"
)

// versionBackoff is the backoff before a peer with incompatible versions is dialled again. It
// starts at the interval at which links are dialled again (dialInterval). Its maximum
// (idleTimeout) is the time after which a missing link is noticed, so that a replaced peer is
// connected within that time.
var versionBackoff = retry.Backoff{Min: dialInterval, Max: idleTimeout}

// maxMismatched bounds the remembered peers: ten times the peers of the largest site.
const maxMismatched = 4096

// Dialer opens the links of a process. A peer with incompatible versions stays incompatible
// until one of the two processes is replaced, so it is dialled again only after a backoff:
// until then Dial returns the last error at once, so that callers may retry at any interval.
// Other failures are transient and have no backoff. The zero value is ready to use.
type Dialer struct {
	// Log receives the log lines of links; it is set before the first use.
	Log *slog.Logger
	// Now and Random, which returns a number in [0, 1), are set by tests.
	Now    func() time.Time
	Random func() float64

	refusals   refusals
	mu         sync.Mutex
	mismatched map[string]*mismatchedPeer
}

// mismatchedPeer is a peer that supports none of our versions.
type mismatchedPeer struct {
	theirs   compat.Range
	failures int
	next     time.Time
	err      error
}

// Dial opens a link to the process at addr as the function Dial does, unless the peer is in
// its backoff.
func (d *Dialer) Dial(ctx context.Context, addr string, o Options) (*Link, error) {
	if err := d.backoffError(addr); err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = d.Log
	}
	l, err := Dial(ctx, addr, o)
	if err != nil {
		d.refusals.record(d.Log, d.now(), dialled, addr, err)
	}
	d.record(addr, err)
	return l, err
}

// backoffError returns the last error of a peer that must not be dialled yet.
func (d *Dialer) backoffError(addr string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.mismatched[addr]; p != nil && d.now().Before(p.next) {
		return p.err
	}
	return nil
}

// record updates the peer's backoff with the result of a dial.
func (d *Dialer) record(addr string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		delete(d.mismatched, addr)
		return
	}
	var mismatched *VersionError
	if !errors.As(err, &mismatched) {
		return
	}
	p := d.mismatched[addr]
	if p == nil || p.theirs != mismatched.Theirs {
		p = &mismatchedPeer{theirs: mismatched.Theirs}
		d.remember(addr, p)
	}
	p.err, p.next = err, d.now().Add(versionBackoff.Pause(p.failures, d.random()))
	p.failures++
}

// remember adds a peer. If there are too many, it removes those that are no longer dialled.
func (d *Dialer) remember(addr string, p *mismatchedPeer) {
	if d.mismatched == nil {
		d.mismatched = map[string]*mismatchedPeer{}
	}
	for other, o := range d.mismatched {
		if len(d.mismatched) < maxMismatched {
			break
		}
		if d.now().After(o.next.Add(versionBackoff.Max)) {
			delete(d.mismatched, other)
		}
	}
	if len(d.mismatched) < maxMismatched {
		d.mismatched[addr] = p
	}
}

func (d *Dialer) now() time.Time {
	if d.Now != nil {
		return d.Now()
	}
	return clock.VM.Now()
}

func (d *Dialer) random() float64 {
	if d.Random != nil {
		return d.Random()
	}
	return rand.Float64()
}
