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

// Shares of replacements that start on an empty disk, and of those whose process is killed.
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
	p := upgradePlanner{rng: r, shape: shape, order: order}
	all := p.processes()
	subset := all[:1+r.IntN(len(all)-1)]
	switch path {
	case fullPath:
		p.addPhase(Upgrade, all)
	case partialPath:
		p.addPhase(Upgrade, subset)
	case downgradePath:
		subset = all[:1+r.IntN(len(all))]
		p.addPhase(Upgrade, subset)
		p.addPhase(Downgrade, p.shuffled(subset))
	case repeatPath:
		subset = all[:1+r.IntN(len(all)/2)]
		p.addPhase(Upgrade, subset)
		p.addPhase(Downgrade, p.shuffled(subset))
		p.addPhase(Upgrade, all)
	}
	return order, path, p.steps
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
func (p *upgradePlanner) processes() []string {
	var gateways, controls []string
	for n := range p.shape.Gateways {
		gateways = append(gateways, gatewayName(n))
	}
	for n := range p.shape.Controls {
		switch p.order {
		case leaderFirst:
			controls = append(controls, leaderName)
		case leaderLast:
			controls = append(controls, followerName)
		default:
			controls = append(controls, controlName(n))
		}
	}
	gateways, controls = p.shuffled(gateways), p.shuffled(controls)
	switch p.order {
	case gatewaysFirst:
		return append(gateways, controls...)
	case controlFirst:
		return append(controls, gateways...)
	}
	return p.shuffled(append(gateways, controls...))
}

func (p *upgradePlanner) shuffled(list []string) []string {
	out := slices.Clone(list)
	p.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// addPhase adds the steps that move processes to a build. At most half of the gateways, rounded up,
// are replaced at once.
func (p *upgradePlanner) addPhase(kind Kind, list []string) {
	p.wave++
	gatewaysInWave := 0
	pause := time.Duration(p.rng.Float64() * float64(2*time.Second))
	for i, name := range list {
		isGateway := strings.HasPrefix(name, gatewayPrefix)
		grouped := p.order == gatewaysFirst || p.order == controlFirst
		groupEnds := grouped && i > 0 && isGateway != strings.HasPrefix(list[i-1], gatewayPrefix)
		if groupEnds || isGateway && gatewaysInWave == (p.shape.Gateways+1)/2 {
			p.wave++
			gatewaysInWave = 0
		}
		s := Step{At: faultFreeStart, Kind: kind, Process: name, Wave: p.wave, For: pause + time.Duration(p.rng.Float64()*float64(800*time.Millisecond))}
		if isGateway {
			gatewaysInWave++
		} else {
			s.Empty = p.rng.Float64() < emptyDiskShare
		}
		if p.rng.Float64() < killShare {
			s.KillAfter = time.Millisecond + time.Duration(p.rng.Float64()*float64(maxKillDelay(isGateway)))
		}
		pause = 0
		p.steps = append(p.steps, s)
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
