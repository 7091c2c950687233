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
	// badEvery is the least time between two lines about one bad peer, and mostBad the peers
	// of which lines are written in that time: a line a second on average.
	badEvery = 10 * time.Second
	mostBad  = 10
	// mostApartLines is the same of peers whose versions are apart, of which a line is written
	// once: the gateways of a large site within some times of badEvery.
	mostApartLines = 64
	// mostTold bounds the peers and ranges that are remembered as told: some per process of
	// the largest site. Beyond, the oldest is forgotten, and told again if it comes.
	mostTold = 4096
	// keyName is how much of a peer's name tells it apart from others of its host.
	keyName = 64
)

// refusals counts and tells of links that were not opened for what the peer said first. The
// zero value is ready.
type refusals struct {
	mu sync.Mutex
	// told are the peers and ranges that a line was written of, order the same in their order.
	told  map[string]bool
	order []string

	once       sync.Once
	apart, bad event.Limiter
}

// tell takes an error of opening a link.
func (r *refusals) tell(log *slog.Logger, now time.Time, s side, addr string, err error) {
	f := fault.From(err)
	if f.Code != fault.VersionsApart && f.Code != fault.BadPeer {
		return
	}
	r.once.Do(func() {
		r.apart.Every, r.apart.Most = badEvery, mostApartLines
		r.bad.Every, r.bad.Most = badEvery, mostBad
	})
	metric.LinksRefused.WithLabelValues(string(s), f.Code.ID).Inc()
	var apart *VersionError
	if errors.As(err, &apart) {
		if r.first(now, peerKey(s, addr, apart)) {
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

// first tells whether a line of this peer and range is to be written: once, and as often as
// lines of bad peers if somebody comes with ever new ranges.
func (r *refusals) first(now time.Time, key string) bool {
	r.mu.Lock()
	told := r.told[key]
	r.mu.Unlock()
	if told || !r.apart.Allow(now, key) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.told == nil {
		r.told = map[string]bool{}
	}
	if len(r.order) >= mostTold {
		delete(r.told, r.order[0])
		r.order = r.order[1:]
	}
	r.told[key] = true
	r.order = append(r.order, key)
	return true
}

// peerKey tells peers and their ranges apart. Whoever opened a link has another port each
// time, and the name says which process of the host it is.
func peerKey(s side, addr string, a *VersionError) string {
	if s == accepted {
		addr = host(addr) + " " + a.Name[:min(len(a.Name), keyName)]
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
