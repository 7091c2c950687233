package compat_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/route"
)

// The model runs replicas of two builds that share one log, with a small version of the
// rules that surround the gate: what a replica may send to which peer, and when its data
// directory refuses older builds. Guards can be disabled one by one to check that the
// model then finds the failure that each prevents.

var modelConfig = consensus.Config{HeartbeatInterval: 50 * time.Millisecond, ElectionMin: 300 * time.Millisecond, ElectionMax: 600 * time.Millisecond, MaxClockDrift: 0.05}

// modelSettling is the settling time of the model.
const modelSettling = 400 * time.Millisecond

// modelDisk is what a replica has synced. Builds whose highest version is below fence
// refuse it.
type modelDisk struct {
	hard    consensus.Hard
	snap    consensus.Snapshot
	entries []consensus.Entry
	fence   int
}

// modelReplica is a replica with the build that runs it.
type modelReplica struct {
	id    string
	build compat.Range
	node  *consensus.Node // nil while it is down
	disk  modelDisk
	state *fleet.State
	// logVersion is the highest version that its log requires, and peerRanges the ranges
	// that peers have reported.
	logVersion int
	peerRanges map[string]compat.Range
	gate       compat.Gate
	term       uint64
	// since is when each member joined or was last seen to support fewer versions,
	// according to the model.
	since map[string]time.Duration
}

func (r *modelReplica) supportsNext() bool { return r.build.Most > compat.Base }

// modelLink is an open link. Packets on it are lost when it closes.
type modelLink struct{ a, b string }

type modelPacket struct {
	at   time.Duration
	link *modelLink
	p    consensus.Packet
}

type model struct {
	rng         *rand.Rand
	now         time.Duration
	reps        map[string]*modelReplica
	order       []string
	links       map[[2]string]*modelLink
	partitioned map[[2]string]bool
	// linkedAt is when a link was last open: the end of a link is noticed with a delay.
	linkedAt map[[2]string]time.Duration
	inFlight []modelPacket
	// disabled holds the names of the disabled guards.
	disabled map[string]bool
	// undisturbed stops random disturbances.
	undisturbed bool
	proposed    int
	rises       int
	history     map[uint64][]byte
	states      map[uint64][]byte
	failure     string
}

func newModel(seed uint64, disabled ...string) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, 9)), reps: map[string]*modelReplica{}, links: map[[2]string]*modelLink{}, partitioned: map[[2]string]bool{}, linkedAt: map[[2]string]time.Duration{},
		disabled: map[string]bool{}, history: map[uint64][]byte{}, states: map[uint64][]byte{},
	}
	for _, g := range disabled {
		m.disabled[g] = true
	}
	voters := []string{"a", "b", "c"}
	boot := consensus.Bootstrap(consensus.Members{Voters: voters})
	for _, id := range voters {
		m.add(id, oldBuild, modelDisk{hard: boot.Hard, snap: boot.Snapshot})
	}
	return m
}

func (m *model) fail(format string, args ...any) {
	if m.failure == "" {
		m.failure = fmt.Sprintf("at %s: ", m.now) + fmt.Sprintf(format, args...)
	}
}

func (m *model) add(id string, build compat.Range, d modelDisk) {
	r := &modelReplica{id: id, build: build, disk: d}
	m.reps[id] = r
	m.order = append(m.order, id)
	m.boot(r)
}

func (m *model) at() time.Time { return start.Add(m.now) }

// needs returns the version that is required to read log entries.
func needs(entries []consensus.Entry) int {
	v := compat.Base
	for _, e := range entries {
		v = max(v, fleet.CommandVersion(e.Data))
	}
	return v
}

// boot starts a replica from its disk, unless its build refuses the disk.
func (m *model) boot(r *modelReplica) {
	if r.disk.fence > r.build.Most {
		return
	}
	state, err := fleet.Restore(r.disk.snap.Data)
	if err != nil {
		m.fail("%s: %v", r.id, err)
		return
	}
	if v := max(state.Version(), needs(r.disk.entries)); v > r.build.Most {
		m.fail("%s of build %v has a data directory of version %d", r.id, r.build, v)
	}
	conf := modelConfig
	conf.ID = r.id
	r.state, r.logVersion = state, compat.Base
	r.peerRanges, r.since, r.gate = map[string]compat.Range{}, map[string]time.Duration{}, compat.Gate{}
	if r.supportsNext() {
		r.logVersion = max(r.logVersion, r.disk.fence, state.Version())
	}
	rest := consensus.Restored{Hard: r.disk.hard, Snapshot: r.disk.snap, Entries: slices.Clone(r.disk.entries)}
	r.node = consensus.New(conf, rest, r.disk.snap.Members, m.at(), rand.New(rand.NewPCG(m.rng.Uint64(), 2)))
	m.flush(r)
}

func (m *model) crash(r *modelReplica) {
	r.node = nil
	m.closeLinks(func(l *modelLink) bool { return l.a == r.id || l.b == r.id })
}

func (m *model) closeLinks(which func(*modelLink) bool) {
	for k, l := range m.links {
		if which(l) {
			delete(m.links, k)
		}
	}
}

func pair(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// openLinks opens links. Each side reports its range and may refuse that of the other.
func (m *model) openLinks() {
	for i, a := range m.order {
		for _, b := range m.order[i+1:] {
			ra, rb, k := m.reps[a], m.reps[b], pair(a, b)
			if ra.node == nil || rb.node == nil || m.partitioned[k] || m.links[k] != nil || m.rng.IntN(6) > 0 {
				continue
			}
			if !m.disabled["open"] && (ra.supportsNext() && !rb.build.Contains(ra.logVersion) || rb.supportsNext() && !ra.build.Contains(rb.logVersion)) {
				continue
			}
			m.links[k] = &modelLink{a, b}
			m.receiveRange(ra, rb)
			m.receiveRange(rb, ra)
		}
	}
}

// receiveRange handles the range that a peer reports when a link opens.
func (m *model) receiveRange(r, from *modelReplica) {
	if before, ok := r.peerRanges[from.id]; ok && before != from.build {
		r.since[from.id] = m.now
		if !m.disabled["range changed"] {
			r.gate.RangeChanged(before, from.build)
		}
	}
	r.peerRanges[from.id] = from.build
}

// flush carries out the requests of the node, after the guards of data directory and
// links.
func (m *model) flush(r *modelReplica) {
	for r.node != nil {
		ready := r.node.Ready()
		if ready.Empty() {
			return
		}
		if ready.Snapshot != nil {
			state, err := fleet.Restore(ready.Snapshot.Data)
			if err != nil {
				m.fail("%s: %v", r.id, err)
				return
			}
			r.state = state
		}
		m.raiseFence(r, ready)
		if m.rng.IntN(400) == 0 {
			m.crash(r)
			return
		}
		r.disk.sync(ready)
		if m.rng.IntN(400) == 0 {
			m.crash(r)
			return
		}
		for _, p := range ready.Packets {
			if l := m.links[pair(p.From, p.To)]; l != nil {
				m.inFlight = append(m.inFlight, modelPacket{m.now + time.Duration(m.rng.IntN(30))*time.Millisecond, l, p})
			}
		}
		m.apply(r, ready.Committed)
	}
}

func (m *model) raiseFence(r *modelReplica, ready consensus.Ready) {
	if !r.supportsNext() {
		return
	}
	v := r.state.Version()
	if !m.disabled["log version"] {
		v = max(v, needs(ready.Entries))
	}
	if v <= r.logVersion {
		return
	}
	r.logVersion = v
	if !m.disabled["close"] {
		m.closeLinks(func(l *modelLink) bool {
			return l.a == r.id && !m.reps[l.b].build.Contains(v) || l.b == r.id && !m.reps[l.a].build.Contains(v)
		})
	}
	if !m.disabled["fence"] {
		r.disk.fence = v
	}
}

func (d *modelDisk) sync(r consensus.Ready) {
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

func (d *modelDisk) install(s consensus.Snapshot) {
	var rest []consensus.Entry
	if last := d.snap.Index + uint64(len(d.entries)); s.Index < last && s.Index >= d.snap.Index {
		rest = slices.Clone(d.entries[s.Index-d.snap.Index:])
	}
	d.snap, d.entries = s, rest
}

// apply checks that all replicas have the same command and state at each index, and that
// the version never falls.
func (m *model) apply(r *modelReplica, entries []consensus.Entry) {
	for _, e := range entries {
		if h, ok := m.history[e.Index]; ok && !bytes.Equal(h, e.Data) {
			m.fail("%s has another command at %d", r.id, e.Index)
		}
		m.history[e.Index] = e.Data
		if len(e.Data) == 0 {
			continue
		}
		before := r.state.Version()
		if _, err := r.state.Apply(e.Data); err != nil {
			m.fail("%s: %v", r.id, err)
		}
		if r.state.Version() < before {
			m.fail("the version falls from %d to %d", before, r.state.Version())
		}
		data, _ := r.state.Snapshot()
		if s, ok := m.states[e.Index]; ok && !bytes.Equal(s, data) {
			m.fail("%s has another state at %d", r.id, e.Index)
		}
		m.states[e.Index] = data
	}
	if len(entries) > 0 && m.rng.IntN(20) == 0 {
		data, _ := r.state.Snapshot()
		if s, ok := r.node.Compact(entries[len(entries)-1].Index, data); ok {
			r.disk.install(s)
		}
	}
}

func (m *model) run(d time.Duration) {
	const step = 5 * time.Millisecond
	for end := m.now + d; m.now < end && m.failure == ""; m.now += step {
		m.openLinks()
		for k := range m.links {
			m.linkedAt[k] = m.now
		}
		m.deliver()
		for _, id := range m.order {
			if r := m.reps[id]; r.node != nil {
				r.node.Tick(m.at())
				m.flush(r)
				if r.node != nil && m.now%(50*time.Millisecond) == 0 {
					m.checkGate(r)
				}
			}
		}
	}
}

// deliver checks that no replica is sent what its build can't read.
func (m *model) deliver() {
	var rest, due []modelPacket
	for _, f := range m.inFlight {
		if f.at <= m.now {
			due = append(due, f)
		} else {
			rest = append(rest, f)
		}
	}
	m.inFlight = rest
	for _, f := range due {
		r := m.reps[f.p.To]
		if r.node == nil || m.links[pair(f.p.From, f.p.To)] != f.link {
			continue
		}
		v := needs(f.p.Entries)
		if f.p.Snapshot != nil {
			if s, err := fleet.Restore(f.p.Snapshot.Data); err == nil {
				v = max(v, s.Version())
			}
		}
		if v > r.build.Most {
			m.fail("%s of build %v is sent data of version %d", r.id, r.build, v)
			return
		}
		r.node.Step(m.at(), f.p)
		m.flush(r)
	}
}

func (m *model) leader() *modelReplica {
	for _, id := range m.order {
		if r := m.reps[id]; r.node != nil && r.node.IsLeader(m.at()) {
			return r
		}
	}
	return nil
}

// proposeBaseCommand proposes a command that all builds can read.
func (m *model) proposeBaseCommand(r *modelReplica) {
	m.proposed++
	data, err := fleet.Encode(fleet.Change{ID: fmt.Sprint(m.proposed), Table: &route.Table{Version: uint64(m.proposed)}})
	if err == nil {
		_, _ = r.node.Propose(m.at(), data)
		m.flush(r)
	}
}
