package policybench

import (
	"container/list"
	"time"

	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/placement"
	"github.com/ledgepin/ledgepin/router"
)

// Constants of the fakes.
const (
	linkLatency    = 500 * time.Microsecond // one-way latency between an entry and an agent
	reportInterval = 2 * time.Second
	leaseTime      = 5 * time.Second
	rejoinGrace    = time.Second
	cancelInterval = 500 * time.Millisecond
	// engineCheckInterval is the time after which an agent detects that its engine has died or is
	// back; it reports that at once.
	engineCheckInterval = 500 * time.Millisecond
	cancelTime          = 5 * time.Millisecond
	chunkTokens         = 512 // prefill tokens after which the next job is chosen by priority
	prefillOverhead     = 2 * time.Millisecond
)

// server is a fake backend server with its agent. The agent uses the real lease table.
type server struct {
	b        *bench
	name     string
	role     string
	speed    float64
	leases   *lease.Table
	kvLeases *lease.Table // leases of the results of prefills

	alive   bool // the engine
	agentUp bool
	leaving bool
	stalled bool
	// transfers counts all transfers on its link; incoming are those to it.
	transfers  int
	incoming   map[lease.ID]*transfer
	owners     map[lease.ID]*entry
	tokens     map[lease.ID]int // prefill work of each lease
	priorities map[lease.ID]int

	reportedSlots int // slots in use at the last report

	// prefill
	queue          []*prefillJob
	computing      bool
	lastPrefillEnd time.Time
	kvCaches       map[lease.ID]*prefillJob
	prefixCache    map[uint64]*list.Element // prefix blocks
	lru            *list.List               // prefix blocks, most recently used first

	// decode
	running  []*decodeJob
	stepping bool
}

func newServer(b *bench, name, role string, speed float64, slots int) *server {
	s := &server{b: b, name: name, role: role, speed: speed, alive: true, agentUp: true,
		leases:   lease.New(slots, lease.Options{TTL: leaseTime, CancelInterval: cancelInterval}),
		kvLeases: lease.New(100000, lease.Options{TTL: leaseTime, CancelInterval: cancelInterval}),
		owners:   map[lease.ID]*entry{}, tokens: map[lease.ID]int{}, priorities: map[lease.ID]int{},
		incoming: map[lease.ID]*transfer{}, kvCaches: map[lease.ID]*prefillJob{}, prefixCache: map[uint64]*list.Element{}, lru: list.New()}
	b.every(100*time.Millisecond, func() {
		s.applyCancels(s.leases, s.leases.Tick(b.now))
		s.applyCancels(s.kvLeases, s.kvLeases.Tick(b.now))
		if releasedSlots := s.reportedSlots - s.leases.Used(); releasedSlots > 0 && releasedSlots >= s.leases.Slots()/4 {
			s.report()
		}
	})
	b.every(reportInterval, s.report)
	return s
}

func (s *server) load(to *entry) placement.Load {
	l := placement.Load{Others: s.leases.Used() - s.leases.UsedBy(to.name), Slots: s.leases.Slots(), Leaving: s.leaving}
	if s.alive {
		l.Models = []string{"m"}
	} else {
		l.NoModels = true
	}
	var backlog [placement.Priorities]int32
	for id, n := range s.tokens {
		if s.owners[id] != to {
			backlog[s.priorities[id]] += int32(n)
		}
	}
	l.Backlog = backlog[:]
	for _, t := range s.b.links.active {
		if (t.from == s || t.to == s) && t.owner != to {
			l.Transfers++
		}
	}
	return l
}

// report sends the load to each entry and renews the entries' leases, as heartbeats on real links
// do.
func (s *server) report() {
	if !s.agentUp {
		return
	}
	s.reportedSlots = s.leases.Used()
	for _, e := range s.b.entries {
		if !e.alive {
			continue
		}
		s.leases.Renew(s.b.now, e.name)
		s.kvLeases.Renew(s.b.now, e.name)
		if s.b.reportsStopped {
			continue
		}
		l := s.load(e)
		s.b.toEntry(e, func() { e.apply(e.router.Report(s.b.now, s.name, l)) })
	}
}

func (s *server) reserve(e *entry, r router.Reserve) {
	if !s.agentUp {
		return
	}
	reason := s.leases.Reserve(s.b.now, lease.Request{
		ID: r.ID, Owner: e.name, Hold: r.Hold, Headroom: placement.Headroom(s.role == "prefill", s.leases.Slots(), r.Priority),
	})
	if !s.alive {
		reason = "engine lost"
	}
	if reason == lease.None {
		s.owners[r.ID] = e
		if r.Tokens > 0 {
			s.tokens[r.ID], s.priorities[r.ID] = r.Tokens, r.Priority
		}
	}
	l := s.load(e)
	s.b.toEntry(e, func() { e.apply(e.router.Reserved(s.b.now, s.name, r.ID, reason == lease.None, string(reason), l)) })
}

// release releases what an attempt holds at the server.
func (s *server) release(id lease.ID) {
	if !s.agentUp {
		return
	}
	s.applyCancels(s.leases, s.leases.Cancel(s.b.now, id))
	s.applyCancels(s.kvLeases, s.kvLeases.Cancel(s.b.now, id))
	s.forgetReleased(id)
}

// forgetReleased drops the state of an attempt that no longer has a lease.
func (s *server) forgetReleased(id lease.ID) {
	if _, ok := s.leases.State(id); !ok {
		delete(s.owners, id)
		delete(s.tokens, id)
	}
}

// applyCancels cancels requests at the engine.
func (s *server) applyCancels(t *lease.Table, list []lease.EngineCancel) {
	for _, eff := range list {
		s.b.after(cancelTime, func() {
			if !s.alive || !s.agentUp {
				return // the table repeats the cancel
			}
			s.removeRequest(eff.ID)
			t.Finish(eff.ID)
			s.forgetReleased(eff.ID)
		})
	}
}

// removeRequest removes a request from the engine.
func (s *server) removeRequest(id lease.ID) {
	for i, j := range s.queue {
		if j.id == id {
			j.removed = true
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			break
		}
	}
	for i, j := range s.running {
		if j.id == id {
			j.removed = true
			s.running = append(s.running[:i], s.running[i+1:]...)
			break
		}
	}
	delete(s.kvCaches, id)
	if t := s.incoming[id]; t != nil {
		delete(s.incoming, id)
		s.b.links.stop(t)
	}
}

// holdsMemory reports whether the engine holds memory for a request.
func (s *server) holdsMemory(req string) bool {
	for _, j := range s.queue {
		if j.id.Req == req {
			return true
		}
	}
	for _, j := range s.running {
		if j.id.Req == req {
			return true
		}
	}
	for id := range s.kvCaches {
		if id.Req == req {
			return true
		}
	}
	for id := range s.incoming {
		if id.Req == req {
			return true
		}
	}
	return false
}

// reportFailure notifies an attempt's entry that the engine lost the attempt.
func (s *server) reportFailure(id lease.ID, step, detail string) {
	e := s.owners[id]
	s.applyCancels(s.leases, s.leases.Cancel(s.b.now, id))
	s.forgetReleased(id)
	if e == nil || !s.agentUp {
		return
	}
	s.b.toEntry(e, func() { e.failed(s.name, id, step, detail) })
}

// kill ends the engine, which loses its whole state.
func (s *server) kill() {
	s.alive = false
	lost := map[lease.ID]string{}
	for _, j := range s.queue {
		j.removed = true
		lost[j.id] = "prefill"
	}
	for _, j := range s.running {
		j.removed = true
		lost[j.id] = "decode"
	}
	for id, t := range s.incoming {
		lost[id] = "transfer"
		s.b.links.stop(t)
	}
	s.queue, s.running = nil, nil
	s.incoming = map[lease.ID]*transfer{}
	s.kvCaches = map[lease.ID]*prefillJob{}
	s.prefixCache, s.lru = map[uint64]*list.Element{}, list.New()
	for _, id := range sortedIDs(lost) {
		s.reportFailure(id, lost[id], "the engine died")
	}
	s.b.after(engineCheckInterval, s.report)
}

func (s *server) restart() {
	s.alive = true
	s.b.after(engineCheckInterval, s.report)
}

// killAgent ends the agent: its links break, and its lease table is lost.
func (s *server) killAgent() {
	s.agentUp = false
	for _, e := range s.b.entries {
		s.b.after(linkLatency, func() {
			if e.alive {
				e.router.LinkLost(s.name)
			}
		})
		s.b.after(time.Second, func() {
			if e.alive && !s.agentUp {
				e.apply(e.router.ServerDown(s.b.now, s.name))
			}
		})
	}
}

// restartAgent starts the agent with an empty table and cancels the requests that the engine still
// runs.
func (s *server) restartAgent() {
	s.agentUp = true
	s.leases = lease.New(s.leases.Slots(), lease.Options{TTL: leaseTime, CancelInterval: cancelInterval})
	s.kvLeases = lease.New(100000, lease.Options{TTL: leaseTime, CancelInterval: cancelInterval})
	s.owners, s.tokens = map[lease.ID]*entry{}, map[lease.ID]int{}
	for _, j := range append([]*decodeJob(nil), s.running...) {
		s.applyCancels(s.leases, s.leases.CancelOrphan(s.b.now, j.id))
	}
	for _, j := range append([]*prefillJob(nil), s.queue...) {
		s.applyCancels(s.leases, s.leases.CancelOrphan(s.b.now, j.id))
	}
	moving := map[lease.ID]string{}
	for id := range s.incoming {
		moving[id] = ""
	}
	for _, id := range sortedIDs(moving) {
		s.applyCancels(s.leases, s.leases.CancelOrphan(s.b.now, id))
	}
	s.kvCaches = map[lease.ID]*prefillJob{}
	for _, e := range s.b.entries {
		s.b.toEntry(e, func() { e.apply(e.router.ServerUp(s.b.now, s.name)) })
	}
	s.report()
}
