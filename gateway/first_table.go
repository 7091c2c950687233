package gateway

import (
	"fmt"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/wire"
)

// missingTableInterval is the interval at which a gateway without a table logs what it is waiting
// for. A gateway that starts usually has its table within some tens of milliseconds.
const missingTableInterval = 500 * time.Millisecond

// tableAnnouncement is what a replica has last sent about the table over its current link.
type tableAnnouncement struct {
	version uint64
	// sent reports that the replica has sent a table, confirmed that it has confirmed the version
	// as the newest.
	sent, confirmed bool
}

// noteAnnouncement records what a replica sends about the table.
func (l *links) noteAnnouncement(address string, m *wire.Routes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[address]; p != nil {
		p.announced.version = m.Version
		p.announced.sent = p.announced.sent || m.Table != nil
		p.announced.confirmed = m.Confirmed
	}
}

// logMissingTable logs, while there is no table, the state of the links to all replicas. The caller
// holds l.mu.
func (l *links) logMissingTable(now time.Time) {
	if l.g.table.Load() != nil || now.Sub(l.missingTableLoggedAt) < missingTableInterval {
		return
	}
	l.missingTableLoggedAt = now
	event.NoTableYet.Log(l.g.log, "ms", now.Sub(l.startedAt).Milliseconds(), "replicas", l.describePeers(now))
}

// describePeers returns the state of the link to each replica. The caller holds l.mu.
func (l *links) describePeers(now time.Time) []string {
	var out []string
	for address, p := range l.peers {
		out = append(out, address+": "+p.describe(now))
	}
	slices.Sort(out)
	return out
}

// describe returns the state of the link to a replica. The caller holds l.mu.
func (p *peer) describe(now time.Time) string {
	if p.link == nil {
		return fmt.Sprintf("dialing for %d ms after %d failures (%v)", now.Sub(p.dialedAt).Milliseconds(), p.failures, p.dialError)
	}
	a := p.announced
	return fmt.Sprintf("open for %d ms, silent for %d ms, announced version %d (table sent %t, confirmed %t)",
		now.Sub(p.openedAt).Milliseconds(), now.Sub(p.lastReceived).Milliseconds(), a.version, a.sent, a.confirmed)
}
