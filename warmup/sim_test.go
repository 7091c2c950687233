package warmup_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/internal/stablehash"
	"github.com/ledgepin/ledgepin/warmup"
)

// sim is a simulated fleet with a cold server that is the least loaded of all, so that each gateway
// would send it all of its requests. Replicas and gateways restart, gateways move to other
// replicas, and grants are delayed on their way.
type sim struct {
	rng       *rand.Rand
	now       time.Time
	gateways  []*simGateway
	brokers   []*warmup.Broker
	bounds    warmup.Bounds
	rate      float64
	perSecond float64 // requests of one gateway
	// chooseByName is the alternative to leases: gateways decide by a hash of their names whether
	// they may send.
	chooseByName bool
	// known is how many gateways the others have seen, which starts again at a few after a restart
	// of all.
	known       int
	sent        []time.Time
	maxInSecond int
	total       int
	reports     []report
	lentAt      time.Time
	server      string
}

type simGateway struct {
	name        string
	incarnation int // a new incarnation has no record of what the previous one sent
	replica     int
	lease       warmup.Lease
	upAt        time.Time
}

type report struct {
	at           time.Time
	gateway      int
	maxPerSecond int
}

const (
	simStep    = 10 * time.Millisecond
	lendEvery  = 100 * time.Millisecond
	nameOwners = 4.0 // on average, for chooseByName
)

func newSim(seed uint64, gateways, replicas int, chooseByName bool) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), chooseByName: chooseByName, known: gateways, server: fmt.Sprint("server-", seed),
		bounds: warmup.Bounds{Overshoot: 1.5, Slack: 5}, rate: 7.3, perSecond: 30 / float64(gateways) * 4,
	}
	for range replicas {
		s.brokers = append(s.brokers, warmup.NewBroker(s.now))
	}
	for i := range gateways {
		s.gateways = append(s.gateways, &simGateway{name: fmt.Sprint("g", i), replica: s.rng.IntN(replicas), upAt: s.now})
	}
	return s
}

// faults restarts processes and moves gateways at random.
func (s *sim) faults() {
	chance := func(each time.Duration) bool { return s.rng.Float64() < float64(simStep)/float64(each) }
	for i := range s.brokers {
		if chance(8 * time.Second) {
			s.brokers[i] = warmup.NewBroker(s.now)
		}
	}
	for _, g := range s.gateways {
		if chance(10 * time.Second) {
			g.replica = s.rng.IntN(len(s.brokers))
		}
		if chance(20 * time.Second) {
			g.incarnation, g.lease, g.upAt = g.incarnation+1, warmup.Lease{}, s.now.Add(300*time.Millisecond)
		}
	}
	if chance(20 * time.Second) { // all restart at once
		s.known = 3
		for i := range s.brokers {
			s.brokers[i] = warmup.NewBroker(s.now)
		}
		for _, g := range s.gateways {
			g.incarnation, g.lease, g.upAt = g.incarnation+1, warmup.Lease{}, s.now.Add(time.Duration(s.rng.Int64N(int64(300*time.Millisecond))))
		}
	}
	s.known = min(s.known+1, len(s.gateways)) // gateways discover each other again
}

func (s *sim) lend() {
	if s.now.Sub(s.lentAt) < lendEvery {
		return
	}
	s.lentAt = s.now
	for i, b := range s.brokers {
		var here []string
		index := map[string]int{}
		for n, g := range s.gateways {
			if g.replica == i && !s.now.Before(g.upAt) {
				link := fmt.Sprint(g.name, ".", g.incarnation)
				here, index[link] = append(here, link), n
			}
		}
		for _, grant := range b.Lease(s.now, []warmup.ColdServer{{Server: "s", Gateways: here}}) {
			delay := time.Duration(s.rng.Int64N(int64(5 * time.Millisecond)))
			if s.rng.IntN(20) == 0 {
				delay = 200 * time.Millisecond // a packet was lost
			}
			s.reports = append(s.reports, report{s.now.Add(delay), index[grant.Gateway], s.bounds.Share(s.rate, len(s.brokers), i)})
		}
	}
}

func (s *sim) deliver() {
	var later []report
	for _, r := range s.reports {
		if s.now.Before(r.at) {
			later = append(later, r)
			continue
		}
		s.gateways[r.gateway].lease.Renew(s.now, r.maxPerSecond, warmup.LeaseTTL)
	}
	s.reports = later
}

// owns reports whether a gateway may send with chooseByName: a hash of its name allows nameOwners
// of the known gateways to send, once per second each.
func (s *sim) owns(g *simGateway) bool {
	draw := float64(stablehash.Pair(stablehash.Name(g.name), stablehash.Name(s.server))) / math.MaxUint64
	return draw < nameOwners/float64(s.known)
}

func (s *sim) step() {
	s.now = s.now.Add(simStep)
	s.faults()
	s.lend()
	s.deliver()
	for _, g := range s.gateways {
		if s.now.Before(g.upAt) || s.rng.Float64() >= s.perSecond*simStep.Seconds() {
			continue
		}
		if s.chooseByName && s.owns(g) {
			g.lease.Renew(s.now, 1, simStep)
		}
		if g.lease.Allows(s.now) {
			g.lease.CountSent(s.now)
			s.sent = append(s.sent, s.now)
			s.total++
		}
	}
	for len(s.sent) > 0 && s.now.Sub(s.sent[0]) >= time.Second {
		s.sent = s.sent[1:]
	}
	s.maxInSecond = max(s.maxInSecond, len(s.sent))
}

// TestLeasesStayWithinBound guards against gateways that together send more in a second than the
// share of the bound for leases, while processes keep restarting and gateways keep moving.
func TestLeasesStayWithinBound(t *testing.T) {
	for _, gateways := range []int{4, 21, 103, 608} {
		for _, replicas := range []int{1, 3, 5, 10} {
			s := newSim(uint64(gateways*100+replicas), gateways, replicas, false)
			bound := (s.rate*s.bounds.Overshoot + s.bounds.Slack) / 2
			for range int(2 * time.Minute / simStep) {
				s.step()
			}
			t.Logf("%3d gateways, %2d replicas: at most %d in a second, %.1f on average", gateways, replicas, s.maxInSecond, float64(s.total)/120)
			assert.Assert(t, float64(s.maxInSecond) <= bound, "%d gateways, %d replicas: %d", gateways, replicas, s.maxInSecond)
			assert.Assert(t, s.total > 0)
		}
	}
}

// TestChoiceByNameExceedsBound shows why there are leases: sooner or later, too many of the gateways
// that choose by name send to one server, especially after a restart of all, when no gateway has
// discovered all others yet.
func TestChoiceByNameExceedsBound(t *testing.T) {
	worst := 0
	for _, gateways := range []int{4, 21, 103, 608} {
		maxSent, total := 0, 0
		for server := range uint64(30) {
			s := newSim(server, gateways, 5, true)
			for range int(20 * time.Second / simStep) {
				s.step()
			}
			maxSent, total = max(maxSent, s.maxInSecond), total+s.total
		}
		t.Logf("%3d gateways: at most %d in a second, %.1f on average", gateways, maxSent, float64(total)/600)
		worst = max(worst, maxSent)
	}
	assert.Assert(t, float64(worst) > (7.3*1.5+5)/2, "%d", worst)
}

// TestShares guards against shares of all replicas that together exceed the bound, and against
// shares that use less of it than whole requests allow.
func TestShares(t *testing.T) {
	for _, rate := range []float64{0.1, 1, 2.5, 7.3, 40, 1000} {
		for _, replicas := range []int{1, 3, 5, 10, 40} {
			b := warmup.Bounds{Overshoot: 1.5, Slack: 5}
			sum := 0
			for i := range replicas {
				sum += b.Share(rate, replicas, i)
			}
			half := (rate*b.Overshoot + b.Slack) / 2
			assert.Assert(t, float64(sum) <= half)
			assert.Assert(t, sum >= min(int(half), replicas) && sum > 0, "%v, %d replicas: %d", rate, replicas, sum)
			assert.Equal(t, b.Share(rate, replicas, -1), 0)
			assert.Equal(t, b.Share(rate, replicas, replicas), 0)
		}
	}
	assert.Equal(t, warmup.Bounds{}.Share(1, 3, 0), 0)
}
