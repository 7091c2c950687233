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

// apartPause spaces the tries at a peer whose versions are apart. It begins with the pace at
// which links are opened again (dialEvery) and ends where a peer that has been replaced
// is still met within the times that links take to be missed (idleTimeout).
var apartPause = retry.Backoff{Min: dialEvery, Max: idleTimeout}

// mostApart bounds the peers that are remembered: ten times those of the largest site.
const mostApart = 4096

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

	refusals refusals
	mu       sync.Mutex
	apart    map[string]*apartPeer
}

// apartPeer is a peer whose versions are apart.
type apartPeer struct {
	theirs   compat.Range
	failures int
	next     time.Time
	err      error
}

// Dial opens a link to the process at addr as the function Dial does.
func (d *Dialer) Dial(ctx context.Context, addr string, o Options) (*Link, error) {
	if err := d.tooEarly(addr); err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = d.Log
	}
	l, err := Dial(ctx, addr, o)
	if err != nil {
		d.refusals.tell(d.Log, d.now(), dialled, addr, err)
	}
	d.note(addr, err)
	return l, err
}

// tooEarly returns the refusal of a peer that is not to be asked yet.
func (d *Dialer) tooEarly(addr string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.apart[addr]; p != nil && d.now().Before(p.next) {
		return p.err
	}
	return nil
}

// note takes how a try ended.
func (d *Dialer) note(addr string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		delete(d.apart, addr)
		return
	}
	var apart *VersionError
	if !errors.As(err, &apart) {
		return
	}
	p := d.apart[addr]
	if p == nil || p.theirs != apart.Theirs {
		p = &apartPeer{theirs: apart.Theirs}
		d.keep(addr, p)
	}
	p.err, p.next = err, d.now().Add(apartPause.Pause(p.failures, d.random()))
	p.failures++
}

// keep remembers a peer, in the place of those that nobody dials any more if there are many.
func (d *Dialer) keep(addr string, p *apartPeer) {
	if d.apart == nil {
		d.apart = map[string]*apartPeer{}
	}
	for other, o := range d.apart {
		if len(d.apart) < mostApart {
			break
		}
		if d.now().After(o.next.Add(apartPause.Max)) {
			delete(d.apart, other)
		}
	}
	if len(d.apart) < mostApart {
		d.apart[addr] = p
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
