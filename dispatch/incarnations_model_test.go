package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/registry"
)

// The model has servers that restart repeatedly under their names, some at each other's
// addresses; replicas that receive reports late, twice and out of order, publish them to each
// other and to the gateways, are partitioned, and restart from their persisted state; and
// gateways. The reference is only which reports were delivered to which gateway.

// delivery is a message to a replica or a gateway, due at a time.
type delivery struct {
	at   time.Time
	list []registry.Server
}

// modelServer is a server with its current incarnation.
type modelServer struct {
	name     string
	born     int64
	address  int
	sequence uint64
	up       bool
	state    registry.State
}

type modelReplica struct {
	registry    *registry.Registry
	persisted   []registry.Server
	inbox       []delivery
	partitioned bool
}

type modelGateway struct {
	fleet *Fleet
	inbox []delivery
	// newest is the latest incarnation of each server of which any report was delivered,
	// leaving the incarnations that were reported as leaving.
	newest  map[string]int64
	leaving map[string]bool
}

type model struct {
	t        *testing.T
	r        *rand.Rand
	now      time.Time
	servers  []*modelServer
	replicas []*modelReplica
	gateways []*modelGateway
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{t: t, r: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0)}
	for n := range 5 {
		m.servers = append(m.servers, &modelServer{name: fmt.Sprint("s", n), address: n})
	}
	for range 3 {
		m.replicas = append(m.replicas, &modelReplica{registry: registry.New(time.Hour)})
		m.gateways = append(m.gateways, &modelGateway{fleet: NewFleet("g", "z"), newest: map[string]int64{}, leaving: map[string]bool{}})
	}
	return m
}

func (s *modelServer) nextReport(state registry.State) registry.Server {
	s.sequence++
	return registry.Server{
		ID: registry.IncarnationID(s.name, s.born), Name: s.name, Born: s.born, Service: "plain",
		Address: fmt.Sprintf("10.0.0.%d:80", s.address), State: state, Sequence: s.sequence,
	}
}

// deliveryTime returns a time of delivery: mostly soon, sometimes after seconds.
func (m *model) deliveryTime() time.Time {
	if m.r.IntN(4) == 0 {
		return m.now.Add(time.Duration(m.r.IntN(8000)) * time.Millisecond)
	}
	return m.now.Add(time.Duration(m.r.IntN(50)) * time.Millisecond)
}

// sendReport sends a server's report to a replica, sometimes twice.
func (m *model) sendReport(s *modelServer, state registry.State) {
	report := s.nextReport(state)
	to := m.replicas[m.r.IntN(len(m.replicas))]
	for range 1 + m.r.IntN(2) {
		to.inbox = append(to.inbox, delivery{m.deliveryTime(), []registry.Server{report}})
	}
}

// start restarts a server, perhaps at the address of another one that is down.
func (m *model) start(s *modelServer) {
	used := map[int]bool{}
	for _, o := range m.servers {
		if o != s && o.up {
			used[o.address] = true
		}
	}
	if a := m.r.IntN(len(m.servers)); !used[a] {
		s.address = a
	}
	if used[s.address] {
		return
	}
	s.born = max(s.born+1+int64(m.r.IntN(1000)), m.now.UnixMilli())
	s.up, s.state, s.sequence = true, registry.Ready, 0
	m.sendReport(s, registry.Ready)
}

// deliverToReplica applies all reports that are due at a replica to its registry, and
// publishes the updates to the other replicas and the gateways.
func (m *model) deliverToReplica(from *modelReplica) {
	for _, d := range m.due(&from.inbox) {
		for _, s := range d.list {
			m.report(from, s)
		}
	}
}

// due removes the deliveries that are due from an inbox and returns them.
func (m *model) due(inbox *[]delivery) []delivery {
	var due, rest []delivery
	for _, d := range *inbox {
		if d.at.After(m.now) {
			rest = append(rest, d)
		} else {
			due = append(due, d)
		}
	}
	*inbox = rest
	return due
}

// report applies a report to a replica. One that it refuses is published to none.
func (m *model) report(to *modelReplica, s registry.Server) {
	updates, _ := to.registry.Report(m.now, s)
	m.publish(to, updates)
}

func (m *model) publish(from *modelReplica, updates []registry.Update) {
	if len(updates) == 0 {
		return
	}
	var list []registry.Server
	for _, n := range updates {
		list = append(list, n.Server)
	}
	for _, to := range m.replicas {
		if to != from && !from.partitioned && !to.partitioned {
			to.inbox = append(to.inbox, delivery{m.deliveryTime(), list})
		}
	}
	for _, g := range m.gateways {
		g.inbox = append(g.inbox, delivery{m.deliveryTime(), list})
	}
}

// deliverToGateway applies the deliveries that are due at a gateway, and checks which servers
// it would use.
func (m *model) deliverToGateway(g *modelGateway) {
	for _, d := range m.due(&g.inbox) {
		for _, s := range d.list {
			g.newest[s.Name] = max(g.newest[s.Name], s.Born)
			if s.State != registry.Ready {
				g.leaving[s.ID] = true
			}
		}
		g.fleet.Update(m.now, d.list)
	}
	for _, s := range g.fleet.List() {
		if !s.available(m.now) {
			continue
		}
		assert.Assert(m.t, s.Born == g.newest[s.Name], "uses %s of %d, has a report of %d", s.Name, s.Born, g.newest[s.Name])
		assert.Assert(m.t, !g.leaving[s.ID], "uses %s of %d, which leaves", s.Name, s.Born)
	}
}

// step makes one event happen to a server or a replica.
func (m *model) step() {
	s, r := m.servers[m.r.IntN(len(m.servers))], m.replicas[m.r.IntN(len(m.replicas))]
	switch m.r.IntN(9) {
	case 0, 1:
		if !s.up {
			m.start(s)
		} else {
			s.up = false // a crash sends no report
		}
	case 2:
		if s.up && s.state == registry.Ready {
			s.state = registry.Draining
			m.sendReport(s, registry.Draining)
		}
	case 3:
		if s.up && s.state == registry.Draining {
			m.sendReport(s, registry.Gone)
			s.up = false
		}
	case 4:
		r.partitioned = !r.partitioned
	case 5:
		r.persisted = r.registry.List(m.now)
	case 6: // it restarts from its disk, perhaps after a while
		r.registry, r.inbox = registry.New(time.Hour), nil
		for _, k := range r.persisted {
			m.report(r, k)
		}
	default:
		if s.up {
			m.sendReport(s, s.state)
		}
	}
}

// settle ends all faults and lets every server that is up report itself, for longer than
// reports can be late twice (at a replica and at a gateway) and a silent server stays
// available.
func (m *model) settle() {
	for range 60 {
		m.now = m.now.Add(500 * time.Millisecond)
		for _, r := range m.replicas {
			r.partitioned = false
			for _, s := range m.servers {
				if s.up {
					m.report(r, s.nextReport(s.state))
				}
			}
			for _, to := range m.replicas {
				to.inbox = append(to.inbox, delivery{m.now, r.registry.List(m.now)})
			}
			m.deliverToReplica(r)
		}
		for _, g := range m.gateways {
			g.inbox = append(g.inbox, delivery{m.now, m.replicas[0].registry.List(m.now)})
			m.deliverToGateway(g)
		}
	}
}

// TestReplacedIncarnationsAreNotUsedUnderFaults checks that no gateway ever uses an
// incarnation after it has received a report of a later one or of its leaving, and that each
// uses exactly the newest incarnations once all reports have been delivered.
func TestReplacedIncarnationsAreNotUsedUnderFaults(t *testing.T) {
	for seed := range uint64(300) {
		m := newModel(t, seed)
		for range 150 {
			m.now = m.now.Add(time.Duration(m.r.IntN(300)) * time.Millisecond)
			m.step()
			for _, r := range m.replicas {
				m.deliverToReplica(r)
			}
			for _, g := range m.gateways {
				m.deliverToGateway(g)
			}
		}
		m.settle()
		for n, g := range m.gateways {
			for _, s := range m.servers {
				want := s.up && s.state == registry.Ready
				got := g.fleet.Available(m.now, registry.IncarnationID(s.name, s.born))
				assert.Equal(t, got, want, "seed %d, gateway %d, %s", seed, n, s.name)
			}
		}
	}
}
