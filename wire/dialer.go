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

// versionBackoff spaces the tries at a peer whose versions are apart. It begins with the pace at
// which links are opened again (dialInterval) and ends where a peer that has been replaced
// is still met within the times that links take to be missed (idleTimeout).
var versionBackoff = retry.Backoff{Min: dialInterval, Max: idleTimeout}

// maxMismatched bounds the peers that are remembered: ten times those of the largest site.
const maxMismatched = 4096

// Dialer opens the links of a process. A peer whose versions are apart stays so until one of
// the two is replaced, so it is not asked again before a pause is over: until then Dial
// returns the last refusal at once, and whoever dials keeps its own pace. Other failures
// pass by themselves and have no pause. The zero value is ready.
type Dialer struct {
	// Log takes what links have to tell; it is set before the first use.
	Log *slog.Logger
	// Now and Random, of [0, 1), are set by tests.
	Now    func() time.Time
	Random func() float64

	refusals   refusals
	mu         sync.Mutex
	mismatched map[string]*mismatchedPeer
}

// mismatchedPeer is a peer whose versions are apart.
type mismatchedPeer struct {
	theirs   compat.Range
	failures int
	next     time.Time
	err      error
}

// Dial opens a link to the process at addr as the function Dial does.
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

// backoffError returns the refusal of a peer that is not to be asked yet.
func (d *Dialer) backoffError(addr string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.mismatched[addr]; p != nil && d.now().Before(p.next) {
		return p.err
	}
	return nil
}

// record takes how a try ended.
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

// remember remembers a peer, in the place of those that nobody dials any more if there are many.
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
