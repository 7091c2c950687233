package soak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/ledgepin/ledgepin/standin"
)

// faultInjector runs the steps of a plan.
type faultInjector struct {
	cluster *cluster
	rec     *recorder
	load    *load
	ops     *operators
	wg      sync.WaitGroup
	// diskMu is held while a replica of control has lost its disk and is not a voter again yet.
	diskMu sync.Mutex
}

// run starts each step at its time; steps overlap.
func (f *faultInjector) run(ctx context.Context, plan []Step) {
	var replacements []Step
	for _, step := range plan {
		if step.Kind.Replaces() {
			replacements = append(replacements, step)
		}
	}
	f.wg.Go(func() { f.replaceAll(ctx, replacements) })
	for _, step := range plan {
		if step.Kind.Replaces() {
			continue
		}
		sleep(ctx, step.At-f.rec.now())
		if ctx.Err() != nil {
			return
		}
		f.wg.Go(func() { f.runStep(ctx, step) })
	}
}

// runStep runs one step and records its end.
func (f *faultInjector) runStep(ctx context.Context, step Step) {
	recordEnd := f.recordStep(step, f.targets(step)...)
	defer recordEnd()
	switch step.Kind {
	case KillGateway, PauseGateway, StopGateway, Reload:
		f.runGatewayStep(ctx, step)
	case KillControl, PauseControl, WipeControl, KillAllControl:
		f.runControlStep(ctx, step)
	case ChangeTable:
		f.ops.putTable(ctx, appService)
	case InvalidTable:
		f.ops.putTable(ctx, "none")
	case RaceTables:
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { f.ops.putTable(ctx, appService) })
		}
		wg.Wait()
	case EvacuateZone:
		f.ops.evacuate(ctx, step)
	case ReportLimit:
		f.reportLimit(ctx, step)
	case RequestPauses:
		f.requestPauses(ctx, step)
	case ReportLeaving:
		f.reportLeaving(ctx, step)
	case SlowReaders:
		f.runSlowReaders(ctx, step)
	case SlowServer:
		f.slowServer(ctx, step)
	case Burst:
		f.load.rateFactor.Add(2)
		sleep(ctx, step.For)
		f.load.rateFactor.Add(-2)
	case FlapEngines:
		f.flapEngines(ctx, step)
	case EndlessAnswers:
		f.answerEndlessly(ctx, step)
	case RollEngines:
		f.rollEngines(ctx, step)
	case UrgencyBurst:
		f.load.pairRate.Add(burstPairsPerSecond)
		sleep(ctx, step.For)
		f.load.pairRate.Add(-burstPairsPerSecond)
	default:
		f.runServerStep(ctx, step)
	}
}

// targets returns the names of the processes and servers that a step disturbs.
func (f *faultInjector) targets(step Step) []string {
	switch step.Kind {
	case KillGateway, PauseGateway, StopGateway, Reload:
		return []string{gatewayName(step.Target)}
	case KillControl, PauseControl, WipeControl:
		return []string{controlName(step.Target)}
	case KillAllControl:
		var out []string
		for n := range f.cluster.shape.Controls {
			out = append(out, controlName(n))
		}
		return out
	case ChangeTable, RaceTables, InvalidTable, EvacuateZone, Burst, UrgencyBurst, FlapEngines, RollEngines, ReportLimit, RequestPauses, SlowReaders:
		return []string{string(step.Kind)}
	}
	b, _ := f.cluster.servers[step.Target].current()
	return []string{b.ID}
}

// recordStep records the beginning of a step at some targets and returns a function that records
// its end.
func (f *faultInjector) recordStep(step Step, targets ...string) func() {
	first := 0
	f.rec.update(func(h *History) {
		first = len(h.Outages)
		for _, t := range targets {
			h.Outages = append(h.Outages, Outage{Step: step, Process: t, From: f.rec.now(), To: step.At + time.Hour})
		}
	})
	return func() {
		f.rec.update(func(h *History) {
			for i := range targets {
				h.Outages[first+i].To = f.rec.now()
			}
		})
	}
}

// readinessDelay is the time until the platform notices that a gateway is not ready and sends
// callers elsewhere.
const readinessDelay = 2 * time.Second

func (f *faultInjector) runGatewayStep(ctx context.Context, step Step) {
	p := f.cluster.processes[gatewayName(step.Target)]
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	switch step.Kind {
	case KillGateway:
		p.stop(syscall.SIGKILL)
		sleep(ctx, step.For/4)
		_ = p.start()
	case PauseGateway:
		p.signal(syscall.SIGSTOP)
		sleep(ctx, step.For)
		p.signal(syscall.SIGCONT)
	case Reload:
		p.signal(syscall.SIGHUP)
		sleep(ctx, time.Second)
	case StopGateway:
		f.restartGateway(ctx, step.Target, func() { _ = p.start() })
	}
}

// restartGateway stops a gateway gracefully and starts it again. Meanwhile callers are sent
// elsewhere, as the platform does.
func (f *faultInjector) restartGateway(ctx context.Context, n int, start func()) {
	excluded := time.AfterFunc(readinessDelay, func() { f.load.excluded[n].Store(true) })
	f.cluster.processes[gatewayName(n)].stop(syscall.SIGTERM)
	excluded.Stop()
	f.load.excluded[n].Store(true)
	start()
	sleep(ctx, time.Second)
	f.load.excluded[n].Store(false)
}

func (f *faultInjector) runControlStep(ctx context.Context, step Step) {
	name := controlName(step.Target)
	p := f.cluster.processes[name]
	if step.Kind == KillAllControl {
		f.killAllControl()
		return
	}
	if step.Kind == WipeControl {
		f.diskMu.Lock()
		defer f.afterMember(ctx, name, f.diskMu.Unlock)
	}
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	switch step.Kind {
	case KillControl:
		p.stop(syscall.SIGKILL)
		sleep(ctx, step.For)
		_ = p.start()
	case WipeControl:
		p.stop(syscall.SIGKILL)
		_ = f.cluster.wipeDisk(name)
		sleep(ctx, step.For/2)
		_ = p.start()
	case PauseControl:
		p.signal(syscall.SIGSTOP)
		sleep(ctx, step.For)
		p.signal(syscall.SIGCONT)
	}
}

// killAllControl kills all replicas at once and starts them again with their disks.
func (f *faultInjector) killAllControl() {
	var all []*process
	for n := range f.cluster.shape.Controls {
		p := f.cluster.processes[controlName(n)]
		p.restartMu.Lock()
		defer p.restartMu.Unlock()
		all = append(all, p)
	}
	var wg sync.WaitGroup
	for _, p := range all {
		wg.Go(func() { p.stop(syscall.SIGKILL) })
	}
	wg.Wait()
	for _, p := range all {
		_ = p.start()
	}
}

func (f *faultInjector) runServerStep(ctx context.Context, step Step) {
	srv := f.cluster.servers[step.Target]
	b, p := srv.current()
	switch step.Kind {
	case KillServer, DrainServer:
		f.replaceServer(ctx, step, srv)
	case RefuseRequests, LoseAnswers, CutStreams:
		fault := map[Kind]standin.Fault{RefuseRequests: standin.Refuse, LoseAnswers: standin.LoseAnswer, CutStreams: standin.CutStream}[step.Kind]
		every := 0
		var mu sync.Mutex
		b.SetFault(func(*http.Request) standin.Fault {
			mu.Lock()
			defer mu.Unlock()
			if every++; every%3 == 0 {
				return fault
			}
			return standin.NoFault
		})
		sleep(ctx, step.For)
		b.SetFault(nil)
	case DisturbCalls, BreakStreams, CloseStreams:
		srv.mu.Lock()
		d := srv.disturber
		srv.mu.Unlock()
		d.add(step.Kind, 1)
		sleep(ctx, step.For)
		d.add(step.Kind, -1)
	case DuplicateAnswers:
		p.setDuplicate(true)
		sleep(ctx, step.For)
		p.setDuplicate(false)
	case ResetLink:
		p.reset()
	case SilenceLink, SilenceAnswers, DelayLink:
		delay := time.Duration(0)
		if step.Kind == DelayLink {
			delay = 30 * time.Millisecond
		}
		p.disturb(step.Kind == SilenceLink, step.Kind == SilenceAnswers, delay)
		sleep(ctx, step.For)
		p.disturb(false, false, 0)
	}
}

// replaceServer ends a server and starts another incarnation of it. A planned replacement is
// reported first, and the server keeps serving for a while.
func (f *faultInjector) replaceServer(ctx context.Context, step Step, srv *server) {
	srv.restartMu.Lock()
	defer srv.restartMu.Unlock()
	if step.Kind == DrainServer {
		srv.setLeaving(true)
		b, _ := srv.current()
		if f.cluster.reportServer(ctx, srv, "draining") {
			f.rec.update(func(h *History) { h.Drains = append(h.Drains, Drain{Server: b.ID, At: f.rec.now()}) })
		}
		sleep(ctx, drainBound+time.Second)
	}
	lateReport := f.cluster.heartbeatBody(srv, "ready")
	srv.kill()
	if step.Kind == KillServer {
		sleep(ctx, step.For)
	}
	_ = f.cluster.startServer(srv)
	f.wg.Go(func() { // a report of the previous incarnation arrives late
		sleep(ctx, step.For)
		f.cluster.postHeartbeat(ctx, step.Target%len(f.cluster.apiAddresses), srv.name, lateReport)
	})
}
