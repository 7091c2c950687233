package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned work.
type Kind string

// The kinds. Planned work is done by operators on purpose and must cut no request.
const (
	KillGateway      Kind = "kill gateway"
	PauseGateway     Kind = "pause gateway"
	StopGateway      Kind = "stop gateway" // planned
	Reload           Kind = "reload"       // planned
	KillControl      Kind = "kill control"
	KillAllControl   Kind = "kill all control"
	PauseControl     Kind = "pause control"
	WipeControl      Kind = "wipe control"
	KillServer       Kind = "kill server"
	DrainServer      Kind = "drain server" // planned
	RefuseRequests   Kind = "refuse requests"
	LoseAnswers      Kind = "lose answers"
	CutStreams       Kind = "cut streams"
	SilenceLink      Kind = "silence link"
	SilenceAnswers   Kind = "silence answers"
	ResetLink        Kind = "reset link"
	DelayLink        Kind = "delay link"
	ChangeTable      Kind = "change table"  // planned
	RaceTables       Kind = "race tables"   // planned
	InvalidTable     Kind = "invalid table" // planned
	Burst            Kind = "burst"
	DisturbCalls     Kind = "trouble calls"
	BreakStreams     Kind = "break streams"
	CloseStreams     Kind = "close streams"
	DuplicateAnswers Kind = "second answers"
	Upgrade          Kind = "upgrade"       // planned
	Downgrade        Kind = "go back"       // planned
	EvacuateZone     Kind = "evacuate zone" // planned
	ReportLimit      Kind = "name limit"
	SlowReaders      Kind = "slow readers"
	SlowServer       Kind = "slow server"
	RequestPauses    Kind = "ask for a pause"
	ReportLeaving    Kind = "say leaving"
	UrgencyBurst     Kind = "burst of urgencies"
	FlapEngines      Kind = "flap engines"
	EndlessAnswers   Kind = "endless answers"
	RollEngines      Kind = "replace engines by the next version"
)

// Planned reports whether a kind is planned work.
func (k Kind) Planned() bool {
	return slices.Contains([]Kind{StopGateway, Reload, DrainServer, ChangeTable, RaceTables, InvalidTable, Upgrade, Downgrade, EvacuateZone}, k)
}

// Replaces reports whether a kind replaces a process by one of the other build.
func (k Kind) Replaces() bool { return k == Upgrade || k == Downgrade }

// Step is a fault or a piece of planned work in a plan.
type Step struct {
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for"`
	Kind Kind          `json:"kind"`
	// Target is the index of the process or server.
	Target int `json:"target"`
	// Process is the process that the step replaces: its name, or leaderName or followerName if the
	// replica of control is chosen only when the step runs.
	Process string `json:"process,omitempty"`
	// Wave orders replacements: those of a wave run in parallel, the waves in sequence.
	Wave int `json:"wave,omitempty"`
	// Seed determines the details of the step, such as what a server reports about itself.
	Seed uint64 `json:"draw,omitempty"`
	// Empty reports whether the process starts on an empty disk, as on a new VM.
	Empty bool `json:"empty,omitempty"`
	// KillAfter is the time after the beginning of the step at which its process is killed; zero if
	// it is not.
	KillAfter time.Duration `json:"hit,omitempty"`
}

// String returns the step as text.
func (s Step) String() string {
	if s.Kind.Replaces() {
		return fmt.Sprintf("wave %2d  %s %s after %.2f s, empty disk %t, killed after %.2f s", s.Wave, s.Kind, s.Process, s.For.Seconds(), s.Empty, s.KillAfter.Seconds())
	}
	return fmt.Sprintf("%6.2f s  %s %d for %.2f s", s.At.Seconds(), s.Kind, s.Target, s.For.Seconds())
}

// Shape is the size of a deployment.
type Shape struct {
	Controls, Gateways, Prefills, Decodes, Apps int
}

// DefaultShape is a deployment that fits a small machine.
var DefaultShape = Shape{Controls: 3, Gateways: 3, Prefills: 2, Decodes: 4, Apps: 3}

// Processes returns the number of ledgepin processes.
func (s Shape) Processes() int { return s.Controls + s.Gateways }

// serversFrom returns the index of an engine, or the indexes of n plain servers from first on.
func (s Shape) serversFrom(first, n int) []int {
	engines := s.Prefills + s.Decodes
	if first < engines {
		return []int{first}
	}
	var out []int
	for i := range n {
		out = append(out, engines+(first-engines+i)%s.Apps)
	}
	return out
}

// Times of a plan without faults.
const (
	// faultFreeStart is the time before the first fault, faultFreeEnd the time after the last one
	// is over.
	faultFreeStart = 1500 * time.Millisecond
	faultFreeEnd   = 6 * time.Second
)

// faultKinds are the kinds to draw from. A kind that is listed twice is twice as frequent.
var faultKinds = []Kind{
	KillGateway, PauseGateway, StopGateway, StopGateway, Reload, KillControl, KillAllControl, PauseControl, WipeControl,
	KillServer, DrainServer, DrainServer, RefuseRequests, LoseAnswers, CutStreams, SilenceLink, SilenceAnswers, ResetLink, DelayLink,
	ChangeTable, ChangeTable, RaceTables, InvalidTable, Burst,
}

// NewPlan draws a plan with about one step per 0.8 s; steps follow each other or overlap. At most
// one replica of control is lost or delayed at a time, and none while another recovers, except when
// all of them are killed with their disks kept.
func NewPlan(seed uint64, length time.Duration, shape Shape) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	var out []Step
	controlFree := faultFreeStart
	for at := faultFreeStart; at < length-faultFreeEnd; at += time.Duration(float64(1600*time.Millisecond) * r.Float64()) {
		s := Step{At: at, Kind: faultKinds[r.IntN(len(faultKinds))], For: time.Duration((0.3 + 2.2*r.Float64()) * float64(time.Second))}
		switch s.Kind {
		case KillGateway, PauseGateway, StopGateway, Reload:
			s.Target = r.IntN(shape.Gateways)
		case KillControl, PauseControl, WipeControl, KillAllControl:
			s.Target = r.IntN(shape.Controls)
			if at < controlFree {
				continue
			}
			controlFree = at + s.For + controlRecoveryTime
		default:
			s.Target = r.IntN(shape.Prefills + shape.Decodes + shape.Apps)
		}
		out = append(out, s)
	}
	out = append(out, streamSteps(seed, length, shape)...)
	out = append(out, evacuationSteps(seed, length)...)
	out = append(out, limitSteps(seed, length, shape)...)
	out = append(out, slowSteps(seed, length, shape)...)
	out = append(out, pauseSteps(seed, length, shape)...)
	out = append(out, urgencySteps(seed, length)...)
	out = append(out, flapSteps(seed, length, shape)...)
	out = append(out, rollSteps(seed, length)...)
	out = append(out, endlessSteps(seed, length, shape)...)
	slices.SortStableFunc(out, func(a, b Step) int { return int(a.At - b.At) })
	return out
}

// streamKinds are the kinds to draw from for engines only, with a random source of its own.
var streamKinds = []Kind{DisturbCalls, DisturbCalls, BreakStreams, BreakStreams, CloseStreams, DuplicateAnswers, DuplicateAnswers, ResetLink, DrainServer}

// streamSteps draws the disturbances of the engines' streams and of the calls about them, about one
// per second.
func streamSteps(seed uint64, length time.Duration, shape Shape) []Step {
	r := rand.New(rand.NewPCG(seed, 5))
	var out []Step
	for at := faultFreeStart; at < length-faultFreeEnd; at += time.Duration(float64(2*time.Second) * r.Float64()) {
		out = append(out, Step{
			At: at, Kind: streamKinds[r.IntN(len(streamKinds))], For: time.Duration((0.5 + 2*r.Float64()) * float64(time.Second)),
			Target: r.IntN(shape.Prefills + shape.Decodes),
		})
	}
	return out
}

// evacuationSteps draws evacuations of the far zone in sequence, with a random source of its own.
func evacuationSteps(seed uint64, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 7))
	var out []Step
	for at := faultFreeStart; ; {
		at += time.Duration(float64(3*time.Second) * r.Float64())
		s := Step{At: at, Kind: EvacuateZone, For: evacuationBound + time.Duration(float64(3*time.Second)*r.Float64())}
		if s.At+s.For >= length-faultFreeEnd {
			return out
		}
		out = append(out, s)
		at += s.For + time.Second
	}
}

// controlRecoveryTime is how long a replica of control may take to become a voter again.
const controlRecoveryTime = 5 * time.Second
