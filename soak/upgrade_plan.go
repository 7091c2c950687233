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

// UpgradeOrders are the orders in which processes are replaced. A run has all processes in one
// zone, so an upgrade zone by zone is the random order.
var UpgradeOrders = []string{gatewaysFirst, controlFirst, leaderFirst, leaderLast, randomOrder}

// Paths of an upgrade, and the names of replicas of control that are chosen when a step runs.
const (
	fullPath      = "whole"
	partialPath   = "half-way"
	downgradePath = "back"
	repeatPath    = "back and forth again"
	leaderName    = "leader"
	// followerName selects a replica that is not the leader, if there is one to replace.
	followerName = "follower"
)

// UpgradePaths are the paths of an upgrade.
var UpgradePaths = []string{fullPath, partialPath, downgradePath, repeatPath}

// Shares of replacements that start on an empty disk and that are hit by a kill.
const (
	emptyDiskShare = 0.25
	killShare      = 0.15
)

// NewUpgrade draws how processes are replaced by the other build. Order and path follow from the
// seed, so that any twenty consecutive seeds cover each pair of them.
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

// upgradePlanner draws the steps of an upgrade.
type upgradePlanner struct {
	rng   *rand.Rand
	shape Shape
	order string
	wave  int
	steps []Step
}

// processes returns all processes in the order of their replacement.
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

// addPhase adds the steps that move processes to a build. At most half of the gateways, rounded up,
// are replaced at once.
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

// maxKillDelay returns the time that a replacement takes, stop and start, which bounds the time of
// a kill.
func maxKillDelay(isGateway bool) time.Duration {
	if isGateway {
		return 6 * time.Second
	}
	return 1500 * time.Millisecond
}
