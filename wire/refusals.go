package wire

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/metric"
)

// side tells who opened a link, for the metric.
type side string

const (
	dialled  side = "dialled"
	accepted side = "accepted"
)

// Bounds of the lines about refused links: whoever finds the port decides how many there are.
const (
	// badInterval is the least time between two lines about one bad peer, and maxBadLines the peers
	// of which lines are written in that time: a line a second on average.
	badInterval = 10 * time.Second
	maxBadLines = 10
	// maxMismatchLines is the same of peers whose versions are apart, of which a line is written
	// once: the gateways of a large site within some times of badInterval.
	maxMismatchLines = 64
	// maxLoggedPeers bounds the peers and ranges that are remembered as told: some per process of
	// the largest site. Beyond, the oldest is forgotten, and told again if it comes.
	maxLoggedPeers = 4096
	// maxKeyName is how much of a peer's name tells it apart from others of its host.
	maxKeyName = 64
)

// refusals counts and tells of links that were not opened for what the peer said first. The
// zero value is ready.
type refusals struct {
	mu sync.Mutex
	// logged are the peers and ranges that a line was written of, order the same in their order.
	logged map[string]bool
	order  []string

	once          sync.Once
	mismatch, bad event.Limiter
}

// record takes an error of opening a link.
func (r *refusals) record(log *slog.Logger, now time.Time, s side, addr string, err error) {
	f := fault.From(err)
	if f.Code != fault.VersionsApart && f.Code != fault.BadPeer {
		return
	}
	r.once.Do(func() {
		r.mismatch.Every, r.mismatch.Most = badInterval, maxMismatchLines
		r.bad.Every, r.bad.Most = badInterval, maxBadLines
	})
	metric.LinksRefused.WithLabelValues(string(s), f.Code.ID).Inc()
	var mismatch *VersionError
	if errors.As(err, &mismatch) {
		if r.firstTime(now, peerKey(s, addr, mismatch)) {
			event.VersionsApart.Log(log, "peer", addr, "error", f)
		}
		return
	}
	key := addr
	if s == accepted {
		key = host(addr) // its port is another each time
	}
	if r.bad.Allow(now, key) {
		event.BadPeer.Log(log, "peer", addr, "error", f)
	}
}

// firstTime tells whether a line of this peer and range is to be written: once, and as often as
// lines of bad peers if somebody comes with ever new ranges.
func (r *refusals) firstTime(now time.Time, key string) bool {
	r.mu.Lock()
	logged := r.logged[key]
	r.mu.Unlock()
	if logged || !r.mismatch.Allow(now, key) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.logged == nil {
		r.logged = map[string]bool{}
	}
	if len(r.order) >= maxLoggedPeers {
		delete(r.logged, r.order[0])
		r.order = r.order[1:]
	}
	r.logged[key] = true
	r.order = append(r.order, key)
	return true
}

// peerKey tells peers and their ranges apart. Whoever opened a link has another port each
// time, and the name says which process of the host it is.
func peerKey(s side, addr string, a *VersionError) string {
	if s == accepted {
		addr = host(addr) + " " + a.Name[:min(len(a.Name), maxKeyName)]
	}
	return fmt.Sprintf("%s %v", addr, a.Theirs)
}

func host(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return h
}
