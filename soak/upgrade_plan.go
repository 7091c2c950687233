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
	randomOrder   = "at random"
)

// Orders are the orders in which processes are replaced. A run has one zone, in which zone by
// zone is at random.
var UpgradeOrders = []string{gatewaysFirst, controlFirst, leaderFirst, leaderLast, randomOrder}

// Paths that an upgrade takes.
const (
	fullPath      = "whole"
	partialPath   = "half-way"
	downgradePath = "back"
	repeatPath    = "back and forth again"
	leaderName    = "leader"
	// followerName is a replica that does not lead, if there is one to replace.
	followerName = "follower"
)

// Paths are the paths that an upgrade takes.
var UpgradePaths = []string{fullPath, partialPath, downgradePath, repeatPath}

// Shares of what befalls the replacing of a process.
const (
	emptyDiskShare = 0.25
	killShare      = 0.15
)

// NewUpgrade draws how processes are replaced by the other build. Order and path go round
// with the seeds, so that any row of twenty has each pair of them.
func NewUpgrade(seed uint64, shape Shape) (order, path string, steps []Step) {
	r := rand.New(rand.NewPCG(seed, 7))
	order = UpgradeOrders[seed%uint64(len(UpgradeOrders))]
	path = UpgradePaths[seed/uint64(len(UpgradeOrders))%uint64(len(UpgradePaths))]
	d := upgradePlanner{rng: r, shape: shape, order: order}
	all := d.processes()
	subset := all[:1+r.IntN(len(all)-1)]
	switch path {
	case fullPath:
		d.addPhase(Upgrade, all)
	case partialPath:
		d.addPhase(Upgrade, subset)
	case downgradePath:
		subset = all[:1+r.IntN(len(all))]
		d.addPhase(Upgrade, subset)
		d.addPhase(Downgrade, d.shuffled(subset))
	case repeatPath:
		subset = all[:1+r.IntN(len(all)/2)]
		d.addPhase(Upgrade, subset)
		d.addPhase(Downgrade, d.shuffled(subset))
		d.addPhase(Upgrade, all)
	}
	return order, path, d.steps
}

// upgradeDraw draws the steps of an upgrade.
type upgradePlanner struct {
	rng   *rand.Rand
	shape Shape
	order string
	wave  int
	steps []Step
}

// processes are all processes in the order in which they are replaced.
func (d *upgradePlanner) processes() []string {
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

func (d *upgradePlanner) shuffled(list []string) []string {
	out := slices.Clone(list)
	d.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// leg adds the steps that bring some processes to one build. At most half of the gateways,
// rounded up, are replaced at once.
func (d *upgradePlanner) addPhase(kind Kind, list []string) {
	d.wave++
	gatewaysInWave := 0
	pause := time.Duration(d.rng.Float64() * float64(2*time.Second))
	for i, name := range list {
		isGateway := strings.HasPrefix(name, gatewayPrefix)
		grouped := d.order == gatewaysFirst || d.order == controlFirst
		groupEnds := grouped && i > 0 && isGateway != strings.HasPrefix(list[i-1], gatewayPrefix)
		if groupEnds || isGateway && gatewaysInWave == (d.shape.Gateways+1)/2 {
			d.wave++
			gatewaysInWave = 0
		}
		s := Step{At: faultFreeStart, Kind: kind, Process: name, Wave: d.wave, For: pause + time.Duration(d.rng.Float64()*float64(800*time.Millisecond))}
		if isGateway {
			gatewaysInWave++
		} else {
			s.Empty = d.rng.Float64() < emptyDiskShare
		}
		if d.rng.Float64() < killShare {
			s.KillAfter = time.Millisecond + time.Duration(d.rng.Float64()*float64(maxKillDelay(isGateway)))
		}
		pause = 0
		d.steps = append(d.steps, s)
	}
}

// hitWithin is the time in which a process is replaced, stop and start.
func maxKillDelay(isGateway bool) time.Duration {
	if isGateway {
		return 6 * time.Second
	}
	return 1500 * time.Millisecond
}
