package policybench

import (
	"slices"
	"time"
)

// Names of the faults that a run may have.
const (
	PrefillDies     = "engine dies in prefill"
	TransferDies    = "engine dies in transfer"
	DecodeDies      = "engine dies in decode"
	TransferStall   = "transfer stalls"
	EntryDies       = "entry dies"
	AgentDies       = "agent dies"
	BulkCancel      = "callers cancel in bulk"
	ReportsStop     = "reports stop"
	CacheEventsLost = "half the cache events lost"
	ServerLeaves    = "a server leaves"
)

// Faults returns the names of all faults.
func Faults() []string {
	return []string{PrefillDies, TransferDies, DecodeDies, TransferStall, EntryDies, AgentDies, BulkCancel, ReportsStop, CacheEventsLost, ServerLeaves}
}

const (
	downTime    = 5 * time.Second
	stallTime   = 5 * time.Second
	reportPause = 15 * time.Second
)

// inject schedules a fault for the middle of the run.
func (b *bench) inject(name string, length time.Duration) {
	b.at(start.Add(length/2), func() { b.applyFault(name) })
}

func (b *bench) applyFault(name string) {
	p, d := b.servers["p1"], b.servers["d1"]
	switch name {
	case PrefillDies:
		b.waitUntil(func() bool { return len(p.queue) > 0 }, func() { b.restartServer(p) })
	case TransferDies:
		b.waitUntil(func() bool { return p.transfers > 0 }, func() { b.restartServer(p) })
	case DecodeDies:
		b.waitUntil(func() bool { return len(d.running) > 0 }, func() { b.restartServer(d) })
	case TransferStall:
		b.stall(d, true)
		b.after(stallTime, func() { b.stall(d, false) })
	case EntryDies:
		b.killEntry(b.entries[1])
	case AgentDies:
		b.lostCapacity[d.name] += 2 * time.Second
		d.killAgent()
		b.after(2*time.Second, d.restartAgent)
	case BulkCancel:
		b.cancelHalf()
	case ReportsStop:
		b.reportsStopped = true
		b.after(reportPause, func() { b.reportsStopped = false })
	case CacheEventsLost:
		b.forgetHalfOfPrefixes()
	case ServerLeaves:
		b.startLeaving(d)
	}
}

// waitUntil calls do at the first moment at which cond holds, so that the fault affects something.
func (b *bench) waitUntil(cond func() bool, do func()) {
	if cond() {
		do()
		return
	}
	b.after(time.Millisecond, func() { b.waitUntil(cond, do) })
}

// stall makes the transfers of a server hang, or continue.
func (b *bench) stall(s *server, on bool) {
	b.links.updateRemaining()
	s.stalled = on
	b.links.scheduleNextEnd()
}

func (b *bench) restartServer(s *server) {
	b.lostCapacity[s.name] += downTime
	s.kill()
	b.after(downTime, s.restart)
}

// killEntry ends an entry. Its callers lose their connections.
func (b *bench) killEntry(e *entry) {
	e.alive = false
	b.after(rejoinGrace, func() {
		for _, s := range b.serverList {
			s.applyCancels(s.leases, s.leases.ExpireOwner(b.now, e.name))
			s.applyCancels(s.kvLeases, s.kvLeases.ExpireOwner(b.now, e.name))
		}
	})
	for _, r := range b.requests {
		if r.entry == e && r.outcome == "" {
			b.setOutcome(r, "cut")
			r.connectionLost = true
			r.disconnectedAt = b.now
			b.watchMemoryRelease(r)
		}
	}
}

func (b *bench) cancelHalf() {
	n := 0
	for _, r := range b.requests {
		if r.entry != nil && r.outcome == "" {
			if n++; n%2 == 0 {
				b.disconnectCaller(r)
				r.connectionLost = true
			}
		}
	}
}

// forgetHalfOfPrefixes makes every entry forget the cached prefixes of half of the servers.
func (b *bench) forgetHalfOfPrefixes() {
	for _, e := range b.entries {
		for i, s := range e.router.View().Prefill() {
			if i%2 == 0 {
				e.router.View().ForgetPrefixes(s)
			}
		}
	}
}

// startLeaving makes a server leave: it drains, and its running requests must complete.
func (b *bench) startLeaving(s *server) {
	s.leaving = true
	s.leases.SetLeaving(true)
	b.lostCapacity[s.name] += b.arrivalsEnd.Sub(b.now)
	s.report()
	b.after(100*time.Millisecond, func() {
		if slices.ContainsFunc(s.running, func(j *decodeJob) bool { return j.removed }) {
			b.reportViolation("%s ended a request while leaving", s.name)
		}
	})
}
