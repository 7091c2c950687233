package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/consensus"
)

var (
	start = time.Unix(1000, 0)
	cfg   = consensus.Config{HeartbeatInterval: 50 * time.Millisecond, ElectionMin: 300 * time.Millisecond, ElectionMax: 600 * time.Millisecond, MaxClockDrift: 0.05}
)

// disk holds what a replica has synced.
type disk struct {
	hard    consensus.Hard
	snap    consensus.Snapshot
	entries []consensus.Entry
}

func (d *disk) restored() consensus.Restored {
	return consensus.Restored{Hard: d.hard, Snapshot: d.snap, Entries: slices.Clone(d.entries)}
}

// sync stores what a Ready asks for.
func (d *disk) sync(r consensus.Ready) {
	if r.Snapshot != nil {
		d.install(*r.Snapshot)
	}
	if r.Hard != nil {
		d.hard = *r.Hard
	}
	for _, e := range r.Entries {
		if e.Index > d.snap.Index {
			d.entries = append(d.entries[:e.Index-d.snap.Index-1], e)
		}
	}
}

func (d *disk) install(s consensus.Snapshot) {
	var rest []consensus.Entry
	if last := d.snap.Index + uint64(len(d.entries)); s.Index < last && s.Index >= d.snap.Index {
		rest = slices.Clone(d.entries[s.Index-d.snap.Index:])
	}
	d.snap, d.entries = s, rest
}

// replica is a node with its disk and the commands that it has applied.
type replica struct {
	id      string
	node    *consensus.Node // nil while it is down
	disk    disk
	applied []string
	drift   float64
	// paused is set while the replica does nothing; packets to it are kept until it resumes.
	paused bool
	// crashAt is the sync point at which the replica crashes next; empty if none.
	crashAt string
}

// cluster transports packets between replicas, with delays, losses and partitions.
type cluster struct {
	t           fataler
	rng         *rand.Rand
	now         time.Duration
	replicas    map[string]*replica
	order       []string
	inFlight    []inFlightPacket
	partitioned map[[2]string]bool
	loss        float64
	// accepted holds the commands that some replica has applied, and so are committed.
	accepted     map[string]bool
	history      []string // the applied commands by index, as first applied by any replica
	firstSeenAt  []time.Duration
	leaderOfTerm map[uint64]string
	proposed     int
	// sent counts the packets of all replicas.
	sent int
	// entriesLost is set if a disk has lost entries.
	entriesLost bool
}

type fataler interface {
	Fatalf(format string, args ...any)
}

type inFlightPacket struct {
	at time.Duration
	p  consensus.Packet
}

func newCluster(t fataler, seed uint64, voters ...string) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 5)), replicas: map[string]*replica{}, partitioned: map[[2]string]bool{},
		accepted: map[string]bool{}, leaderOfTerm: map[uint64]string{},
	}
	bootstrap := consensus.Bootstrap(consensus.Members{Voters: voters})
	for _, id := range voters {
		c.add(id, disk{hard: bootstrap.Hard, snap: bootstrap.Snapshot})
	}
	return c
}

func (c *cluster) add(id string, d disk) {
	// Clocks differ by at most MaxClockDrift.
	r := &replica{id: id, disk: d, drift: 1 + cfg.MaxClockDrift/2*(2*c.rng.Float64()-1)}
	c.replicas[id] = r
	c.order = append(c.order, id)
	c.startReplica(r)
}

// startReplica starts a replica from its disk.
func (c *cluster) startReplica(r *replica) {
	conf := cfg
	conf.ID = r.id
	r.applied = decodeState(r.disk.snap.Data)
	r.node = consensus.New(conf, r.disk.restored(), r.disk.snap.Members, c.clock(r), rand.New(rand.NewPCG(c.rng.Uint64(), 2)))
	c.flush(r)
}

// clock returns the time by the clock of a replica.
func (c *cluster) clock(r *replica) time.Time {
	return start.Add(time.Duration(float64(c.now) * r.drift))
}

func (c *cluster) crash(id string) {
	if r := c.replicas[id]; r != nil {
		r.node = nil
	}
}

// flush executes the node's Ready until it is empty; a crash point ends it in between.
func (c *cluster) flush(r *replica) {
	for r.node != nil {
		ready := r.node.Ready()
		if ready.Empty() {
			return
		}
		if r.crashAt == "before sync" {
			r.crashAt, r.node = "", nil
			return
		}
		r.disk.sync(ready)
		if ready.Snapshot != nil {
			r.applied = decodeState(ready.Snapshot.Data)
		}
		if r.crashAt == "after sync" {
			r.crashAt, r.node = "", nil
			return
		}
		for _, p := range ready.Packets {
			c.sendPacket(p)
		}
		if r.crashAt == "before apply" {
			r.crashAt, r.node = "", nil
			return
		}
		c.apply(r, ready.Committed)
	}
}

func (c *cluster) sendPacket(p consensus.Packet) {
	copies := 1
	switch f := c.rng.Float64(); {
	case f < c.loss:
		copies = 0
	case f > 0.97:
		copies = 2
	}
	c.sent++
	for range copies {
		c.inFlight = append(c.inFlight, inFlightPacket{c.now + time.Duration(c.rng.IntN(30))*time.Millisecond, p})
	}
}

// apply checks that all replicas apply the same commands in the same order.
func (c *cluster) apply(r *replica, entries []consensus.Entry) {
	for _, e := range entries {
		if len(e.Data) == 0 {
			continue
		}
		at := len(r.applied)
		r.applied = append(r.applied, string(e.Data))
		if at < len(c.history) && c.history[at] != string(e.Data) {
			c.t.Fatalf("%s applied %q as number %d, and another replica applied %q", r.id, e.Data, at, c.history[at])
		}
		if at == len(c.history) {
			c.history = append(c.history, string(e.Data))
			c.firstSeenAt = append(c.firstSeenAt, c.now)
		}
		c.accepted[string(e.Data)] = true
	}
	if len(r.applied) > 0 && c.rng.IntN(20) == 0 && len(entries) > 0 {
		if s, ok := r.node.Compact(entries[len(entries)-1].Index, encodeState(r.applied)); ok {
			r.disk.install(s)
		}
	}
}

func encodeState(applied []string) []byte {
	var out []byte
	for _, s := range applied {
		out = append(out, s...)
		out = append(out, 0)
	}
	return out
}

func decodeState(data []byte) []string {
	var out []string
	for len(data) > 0 {
		i := slices.Index(data, 0)
		out = append(out, string(data[:i]))
		data = data[i+1:]
	}
	return out
}

// run advances the simulation by d.
func (c *cluster) run(d time.Duration) {
	const step = 5 * time.Millisecond
	for end := c.now + d; c.now < end; c.now += step {
		c.deliver()
		for _, id := range c.order {
			if r := c.replicas[id]; r.node != nil && !r.paused {
				r.node.Tick(c.clock(r))
				c.flush(r)
			}
		}
		c.checkSingleLeader()
		c.checkFreshReplicas()
	}
}

// checkFreshReplicas checks that a replica that reports itself fresh has applied all commands that
// were accepted more than ElectionMin ago.
func (c *cluster) checkFreshReplicas() {
	for _, id := range c.order {
		r := c.replicas[id]
		if r.node == nil || r.paused || !r.node.Fresh(c.clock(r)) {
			continue
		}
		bound := c.now - time.Duration(float64(cfg.ElectionMin)*(1+cfg.MaxClockDrift))
		for n, at := range c.firstSeenAt {
			if at < bound && n >= len(r.applied) {
				c.t.Fatalf("%s reports itself fresh at %s without command %d of %s", id, c.now, n, at)
			}
		}
	}
}

func (c *cluster) deliver() {
	var rest []inFlightPacket
	due := []inFlightPacket{}
	for _, f := range c.inFlight {
		if r := c.replicas[f.p.To]; f.at <= c.now && (r == nil || !r.paused) {
			due = append(due, f)
		} else {
			rest = append(rest, f)
		}
	}
	c.inFlight = rest
	c.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, f := range due {
		r := c.replicas[f.p.To]
		if r == nil || r.node == nil || c.partitioned[[2]string{f.p.From, f.p.To}] {
			continue
		}
		r.node.Step(c.clock(r), f.p)
		c.flush(r)
	}
}

// checkSingleLeader checks that at most one replica leads under a lease, that no term has two
// leaders, and that a leader has applied all accepted commands.
func (c *cluster) checkSingleLeader() {
	var leaders []string
	for _, id := range c.order {
		r := c.replicas[id]
		if r.node == nil || r.paused || !r.node.IsLeader(c.clock(r)) {
			continue
		}
		leaders = append(leaders, id)
		if lost := r.node.Status(c.clock(r)).LostEntries; len(lost) > 0 && !c.entriesLost {
			c.t.Fatalf("%s takes %v for replicas that have lost entries", id, lost)
		}
		term := r.node.Term()
		if c.leaderOfTerm[term] == "" {
			c.leaderOfTerm[term] = id
		}
		if c.leaderOfTerm[term] != id {
			c.t.Fatalf("%s and %s both led term %d", id, c.leaderOfTerm[term], term)
		}
		if len(r.applied) < len(c.history) {
			c.t.Fatalf("%s leads and has applied %d of %d accepted commands", id, len(r.applied), len(c.history))
		}
	}
	if len(leaders) > 1 {
		c.t.Fatalf("at %s %v all lead under a lease", c.now, leaders)
	}
}

// leader returns the replica that leads under a lease, or nil.
func (c *cluster) leader() *replica {
	for _, id := range c.order {
		if r := c.replicas[id]; r.node != nil && !r.paused && r.node.IsLeader(c.clock(r)) {
			return r
		}
	}
	return nil
}

// propose proposes a command to a replica and reports whether it was appended.
func (c *cluster) propose(r *replica) bool {
	c.proposed++
	_, err := r.node.Propose(c.clock(r), fmt.Appendf(nil, "c%d", c.proposed))
	c.flush(r)
	return err == nil
}

// change proposes a membership change and reports whether the leader appended it.
func (c *cluster) change(ch consensus.Change) bool {
	r := c.leader()
	if r == nil {
		return false
	}
	_, err := r.node.ChangeMembers(c.clock(r), ch)
	c.flush(r)
	return err == nil
}

// heal ends all faults and restarts every replica that is down.
func (c *cluster) heal() {
	c.partitioned = map[[2]string]bool{}
	c.loss = 0
	for _, id := range c.order {
		r := c.replicas[id]
		r.crashAt, r.paused = "", false
		if r.node == nil {
			c.startReplica(r)
		}
	}
}
