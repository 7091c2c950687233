package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Orders in which processes are replaced.
const (
	gatewaysFirst = "gateways first"
	controlFirst  = "control first"
	leaderFirst   = "leader first"
	leaderLast    = "leader last"
	atRandom      = "at random"
)

// Orders are the orders in which processes are replaced. A run has one zone, in which zone by
// zone is at random.
var UpgradeOrders = []string{gatewaysFirst, controlFirst, leaderFirst, leaderLast, atRandom}

// Paths that an upgrade takes.
const (
	wholePath  = "whole"
	halfPath   = "half-way"
	backPath   = "back"
	againPath  = "back and forth again"
	leaderName = "leader"
	// followerName is a replica that does not lead, if there is one to replace.
	followerName = "follower"
)

// Paths are the paths that an upgrade takes.
var UpgradePaths = []string{wholePath, halfPath, backPath, againPath}

// Shares of what befalls the replacing of a process.
const (
	emptyShare = 0.25
	hitShare   = 0.15
)

// NewUpgrade draws how processes are replaced by the other build. Order and path go round
// with the seeds, so that any row of twenty has each pair of them.
func NewUpgrade(seed uint64, shape Shape) (order, path string, steps []Step) {
	r := rand.New(rand.NewPCG(seed, 7))
	order = UpgradeOrders[seed%uint64(len(UpgradeOrders))]
	path = UpgradePaths[seed/uint64(len(UpgradeOrders))%uint64(len(UpgradePaths))]
	d := upgradeDraw{rng: r, shape: shape, order: order}
	all := d.processes()
	part := all[:1+r.IntN(len(all)-1)]
	switch path {
	case wholePath:
		d.leg(Upgrade, all)
	case halfPath:
		d.leg(Upgrade, part)
	case backPath:
		part = all[:1+r.IntN(len(all))]
		d.leg(Upgrade, part)
		d.leg(Downgrade, d.shuffled(part))
	case againPath:
		part = all[:1+r.IntN(len(all)/2)]
		d.leg(Upgrade, part)
		d.leg(Downgrade, d.shuffled(part))
		d.leg(Upgrade, all)
	}
	return order, path, d.steps
}

// upgradeDraw draws the steps of an upgrade.
type upgradeDraw struct {
	rng   *rand.Rand
	shape Shape
	order string
	wave  int
	steps []Step
}

// processes are all processes in the order in which they are replaced.
func (d *upgradeDraw) processes() []string {
	var gateways, controls []string
	for n := range d.shape.Gateways {
		gateways = append(gateways, gatewayName(n))
	}
	for n := range d.shape.Controls {
		switch d.order {
		case leaderFirst:
			controls = append(controls, leaderName)
		case leaderLast:
			controls = append(controls, followerName)
		default:
			controls = append(controls, controlName(n))
		}
	}
	gateways, controls = d.shuffled(gateways), d.shuffled(controls)
	switch d.order {
	case gatewaysFirst:
		return append(gateways, controls...)
	case controlFirst:
		return append(controls, gateways...)
	}
	return d.shuffled(append(gateways, controls...))
}

func (d *upgradeDraw) shuffled(list []string) []string {
	out := slices.Clone(list)
	d.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// leg adds the steps that bring some processes to one build. At most half of the gateways,
// rounded up, are replaced at once.
func (d *upgradeDraw) leg(kind Kind, list []string) {
	d.wave++
	inWave := 0
	pause := time.Duration(d.rng.Float64() * float64(2*time.Second))
	for i, name := range list {
		isGateway := strings.HasPrefix(name, gatewayPrefix)
		strict := d.order == gatewaysFirst || d.order == controlFirst
		turns := strict && i > 0 && isGateway != strings.HasPrefix(list[i-1], gatewayPrefix)
		if turns || isGateway && inWave == (d.shape.Gateways+1)/2 {
			d.wave++
			inWave = 0
		}
		s := Step{At: calmStart, Kind: kind, Process: name, Wave: d.wave, For: pause + time.Duration(d.rng.Float64()*float64(800*time.Millisecond))}
		if isGateway {
			inWave++
		} else {
			s.Empty = d.rng.Float64() < emptyShare
		}
		if d.rng.Float64() < hitShare {
			s.KillAfter = time.Millisecond + time.Duration(d.rng.Float64()*float64(hitWithin(isGateway)))
		}
		pause = 0
		d.steps = append(d.steps, s)
	}
}

// hitWithin is the time in which a process is replaced, stop and start.
func hitWithin(isGateway bool) time.Duration {
	if isGateway {
		return 6 * time.Second
	}
	return 1500 * time.Millisecond
}
