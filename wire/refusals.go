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

// side is the end that opened a link, as a label of the metric.
type side string

const (
	dialled  side = "dialled"
	accepted side = "accepted"
)

// Bounds of the log lines about refused links: anyone who can reach the port can cause them.
const (
	// badInterval is the minimum time between two lines about one bad peer, and maxBadLines the
	// maximum number of peers logged in that time: one line per second on average.
	badInterval = 10 * time.Second
	maxBadLines = 10
	// maxMismatchLines is the same for peers with incompatible versions, each of which is logged
	// only once: it covers the gateways of a large site within a few intervals.
	maxMismatchLines = 64
	// maxLoggedPeers bounds the remembered peers and ranges: several per process of the largest
	// site. Beyond that the oldest is forgotten, and logged again if it returns.
	maxLoggedPeers = 4096
	// maxKeyName is the length of the prefix of a peer's name that distinguishes it from
	// other peers of its host.
	maxKeyName = 64
)

// refusals counts and logs links that were refused because of the peer's first frame. The
// zero value is ready to use.
type refusals struct {
	mu sync.Mutex
	// logged are the peers and ranges that were logged, order the same by age.
	logged map[string]bool
	order  []string

	once          sync.Once
	mismatch, bad event.Limiter
}

// record counts and logs an error of opening a link.
func (r *refusals) record(log *slog.Logger, now time.Time, s side, addr string, err error) {
	f := fault.From(err)
	if f.Code != fault.VersionsApart && f.Code != fault.BadPeer {
		return
	}
	r.once.Do(func() {
		r.mismatch.Interval, r.mismatch.MaxKeys = badInterval, maxMismatchLines
		r.bad.Interval, r.bad.MaxKeys = badInterval, maxBadLines
	})
	metric.RefusedLinks.WithLabelValues(string(s), f.Code.ID).Inc()
	var mismatch *VersionError
	if errors.As(err, &mismatch) {
		if r.firstTime(now, peerKey(s, addr, mismatch)) {
			event.NoCommonVersion.Log(log, "peer", addr, "error", f)
		}
		return
	}
	key := addr
	if s == accepted {
		key = host(addr) // its port differs each time
	}
	if r.bad.Allow(now, key) {
		event.BadPeer.Log(log, "peer", addr, "error", f)
	}
}

// firstTime reports whether this peer and range is to be logged: once, and limited by the
// rate for mismatches, since a peer may present ever new ranges.
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

// peerKey returns a key for a peer and its range. The port of an accepted peer differs each
// time, so its name distinguishes the processes of a host.
func peerKey(s side, addr string, e *VersionError) string {
	if s == accepted {
		addr = host(addr) + " " + e.Name[:min(len(e.Name), maxKeyName)]
	}
	return fmt.Sprintf("%s %v", addr, e.Theirs)
}

func host(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return h
}
