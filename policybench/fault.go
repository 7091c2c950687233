package policybench

import (
	"slices"
	"time"
)

// The faults that a run may have.
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

// Faults lists all of them.
func Faults() []string {
	return []string{PrefillDies, TransferDies, DecodeDies, TransferStall, EntryDies, AgentDies, BulkCancel, ReportsStop, CacheEventsLost, ServerLeaves}
}

const (
	downTime  = 5 * time.Second
	stallTime = 5 * time.Second
	quiet     = 15 * time.Second
)

// inject plans a fault for the middle of the run.
func (b *bench) inject(name string, length time.Duration) {
	b.at(start.Add(length/2), func() { b.happen(name) })
}

func (b *bench) happen(name string) {
	p, d := b.servers["p1"], b.servers["d1"]
	switch name {
	case PrefillDies:
		b.when(func() bool { return len(p.queue) > 0 }, func() { b.bounce(p) })
	case TransferDies:
		b.when(func() bool { return p.transfers > 0 }, func() { b.bounce(p) })
	case DecodeDies:
		b.when(func() bool { return len(d.running) > 0 }, func() { b.bounce(d) })
	case TransferStall:
		b.stall(d, true)
		b.after(stallTime, func() { b.stall(d, false) })
	case EntryDies:
		b.killEntry(b.entries[1])
	case AgentDies:
		b.lost[d.name] += 2 * time.Second
		d.killAgent()
		b.after(2*time.Second, d.restartAgent)
	case BulkCancel:
		b.cancelHalf()
	case ReportsStop:
		b.reportsStopped = true
		b.after(quiet, func() { b.reportsStopped = false })
	case CacheEventsLost:
		b.dropHints()
	case ServerLeaves:
		b.depart(d)
	}
}

// when waits for a moment at which the fault hits something.
func (b *bench) when(cond func() bool, do func()) {
	if cond() {
		do()
		return
	}
	b.after(time.Millisecond, func() { b.when(cond, do) })
}

// stall makes the transfers of a server hang, or lets them go on.
func (b *bench) stall(s *server, on bool) {
	b.links.progress()
	s.stalled = on
	b.links.plan()
}

func (b *bench) bounce(s *server) {
	b.lost[s.name] += downTime
	s.kill()
	b.after(downTime, s.restart)
}

// killEntry ends an entry; its callers lose their connections.
func (b *bench) killEntry(e *entry) {
	e.alive = false
	b.after(rejoinGrace, func() {
		for _, s := range b.order {
			s.effects(s.table, s.table.ExpireOwner(b.now, e.name))
			s.effects(s.kvs, s.kvs.ExpireOwner(b.now, e.name))
		}
	})
	for _, r := range b.list {
		if r.entry == e && r.outcome == "" {
			b.end(r, "cut")
			r.cut = true
			r.goneAt = b.now
			b.watch(r)
		}
	}
}

func (b *bench) cancelHalf() {
	n := 0
	for _, r := range b.list {
		if r.entry != nil && r.outcome == "" {
			if n++; n%2 == 0 {
				b.leave(r)
				r.cut = true
			}
		}
	}
}

// dropHints makes every entry forget half of the prefixes that it knows of.
func (b *bench) dropHints() {
	for _, e := range b.entries {
		for i, s := range e.core.View().Prefill() {
			if i%2 == 0 {
				e.core.View().ForgetPrefixes(s)
			}
		}
	}
}

// depart lets a server leave in peace; it is gone once it has drained.
func (b *bench) depart(s *server) {
	s.leaving = true
	s.table.SetLeaving(true)
	b.lost[s.name] += b.end0.Sub(b.now)
	s.report()
	b.after(100*time.Millisecond, func() {
		if slices.ContainsFunc(s.running, func(j *decodeJob) bool { return j.gone }) {
			b.broken("%s cut a request while leaving", s.name)
		}
	})
}
