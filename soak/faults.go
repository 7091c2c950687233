package soak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/ledgepin/ledgepin/standin"
)

// faults plays a plan.
type faults struct {
	site *site
	rec  *recorder
	load *load
	ops  *operators
	wg   sync.WaitGroup
	// disk is held while a replica of control has lost its disk and is no voter again.
	disk sync.Mutex
}

// play makes each step at its time; steps overlap.
func (f *faults) play(ctx context.Context, plan []Step) {
	var replaced []Step
	for _, step := range plan {
		if step.Kind.Replaces() {
			replaced = append(replaced, step)
		}
	}
	f.wg.Go(func() { f.replaceAll(ctx, replaced) })
	for _, step := range plan {
		if step.Kind.Replaces() {
			continue
		}
		sleep(ctx, step.At-f.rec.now())
		if ctx.Err() != nil {
			return
		}
		f.wg.Go(func() { f.make(ctx, step) })
	}
}

// make makes one step and notes when it was over.
func (f *faults) make(ctx context.Context, step Step) {
	over := f.begin(step, f.targets(step)...)
	defer over()
	switch step.Kind {
	case KillGateway, PauseGateway, StopGateway, Reload:
		f.gateway(ctx, step)
	case KillControl, PauseControl, WipeControl, KillAllControl:
		f.control(ctx, step)
	case ChangeTable:
		f.ops.change(ctx, appService)
	case InvalidTable:
		f.ops.change(ctx, "none")
	case RaceTables:
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { f.ops.change(ctx, appService) })
		}
		wg.Wait()
	case EvacuateZone:
		f.ops.evacuate(ctx, step)
	case ReportLimit:
		f.nameLimit(ctx, step)
	case RequestPauses:
		f.askPause(ctx, step)
	case ReportLeaving:
		f.sayLeaving(ctx, step)
	case SlowReaders:
		f.slowCallers(ctx, step)
	case SlowServer:
		f.slowServer(ctx, step)
	case Burst:
		f.load.faster.Add(2)
		sleep(ctx, step.For)
		f.load.faster.Add(-2)
	default:
		f.server(ctx, step)
	}
}

// targets names the processes and servers that a step disturbs.
func (f *faults) targets(step Step) []string {
	switch step.Kind {
	case KillGateway, PauseGateway, StopGateway, Reload:
		return []string{gatewayName(step.Target)}
	case KillControl, PauseControl, WipeControl:
		return []string{controlName(step.Target)}
	case KillAllControl:
		var out []string
		for n := range f.site.shape.Controls {
			out = append(out, controlName(n))
		}
		return out
	case ChangeTable, RaceTables, InvalidTable, EvacuateZone, Burst, ReportLimit, RequestPauses, SlowReaders:
		return []string{string(step.Kind)}
	}
	b, _ := f.site.servers[step.Target].now()
	return []string{b.ID}
}

// begin notes the begin of a step at some targets and returns what notes its
// end.
func (f *faults) begin(step Step, targets ...string) func() {
	first := 0
	f.rec.add(func(h *History) {
		first = len(h.Outages)
		for _, t := range targets {
			h.Outages = append(h.Outages, Outage{Step: step, Process: t, From: f.rec.now(), To: step.At + time.Hour})
		}
	})
	return func() {
		f.rec.add(func(h *History) {
			for i := range targets {
				h.Outages[first+i].To = f.rec.now()
			}
		})
	}
}

// platformNotice is the time in which the platform notices that a gateway is
// not ready, and sends callers elsewhere.
const platformNotice = 2 * time.Second

func (f *faults) gateway(ctx context.Context, step Step) {
	p := f.site.processes[gatewayName(step.Target)]
	p.life.Lock()
	defer p.life.Unlock()
	switch step.Kind {
	case KillGateway:
		p.end(syscall.SIGKILL)
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

// restartGateway stops a gateway in order and has it started again, as the platform sends
// callers meanwhile.
func (f *faults) restartGateway(ctx context.Context, n int, start func()) {
	notice := time.AfterFunc(platformNotice, func() { f.load.out[n].Store(true) })
	f.site.processes[gatewayName(n)].end(syscall.SIGTERM)
	notice.Stop()
	f.load.out[n].Store(true)
	start()
	sleep(ctx, time.Second)
	f.load.out[n].Store(false)
}

func (f *faults) control(ctx context.Context, step Step) {
	name := controlName(step.Target)
	p := f.site.processes[name]
	if step.Kind == KillAllControl {
		f.killAllControl()
		return
	}
	if step.Kind == WipeControl {
		f.disk.Lock()
		defer f.whenMember(ctx, name, f.disk.Unlock)
	}
	p.life.Lock()
	defer p.life.Unlock()
	switch step.Kind {
	case KillControl:
		p.end(syscall.SIGKILL)
		sleep(ctx, step.For)
		_ = p.start()
	case WipeControl:
		p.end(syscall.SIGKILL)
		_ = f.site.wipe(name)
		sleep(ctx, step.For/2)
		_ = p.start()
	case PauseControl:
		p.signal(syscall.SIGSTOP)
		sleep(ctx, step.For)
		p.signal(syscall.SIGCONT)
	}
}

// killAllControl ends all replicas at once and starts them again; their disks
// are kept.
func (f *faults) killAllControl() {
	var all []*process
	for n := range f.site.shape.Controls {
		p := f.site.processes[controlName(n)]
		p.life.Lock()
		defer p.life.Unlock()
		all = append(all, p)
	}
	var wg sync.WaitGroup
	for _, p := range all {
		wg.Go(func() { p.end(syscall.SIGKILL) })
	}
	wg.Wait()
	for _, p := range all {
		_ = p.start()
	}
}

func (f *faults) server(ctx context.Context, step Step) {
	v := f.site.servers[step.Target]
	b, p := v.now()
	switch step.Kind {
	case KillServer, DrainServer:
		f.replace(ctx, step, v)
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
		v.mu.Lock()
		t := v.trouble
		v.mu.Unlock()
		t.set(step.Kind, 1)
		sleep(ctx, step.For)
		t.set(step.Kind, -1)
	case DuplicateAnswers:
		p.second(true)
		sleep(ctx, step.For)
		p.second(false)
	case ResetLink:
		p.reset()
	case SilenceLink, SilenceAnswers, DelayLink:
		delay := time.Duration(0)
		if step.Kind == DelayLink {
			delay = 30 * time.Millisecond
		}
		p.set(step.Kind == SilenceLink, step.Kind == SilenceAnswers, delay)
		sleep(ctx, step.For)
		p.set(false, false, 0)
	}
}

// replace ends a server and starts another incarnation of it, at once or as
// planned: then it says so first and serves on for a while.
func (f *faults) replace(ctx context.Context, step Step, v *server) {
	v.life.Lock()
	defer v.life.Unlock()
	if step.Kind == DrainServer {
		v.leave(true)
		b, _ := v.now()
		if f.site.report(ctx, v, "draining") {
			f.rec.add(func(h *History) { h.Drains = append(h.Drains, Drain{Server: b.ID, At: f.rec.now()}) })
		}
		sleep(ctx, drainBound+time.Second)
	}
	late := f.site.heartbeatOf(v, "ready")
	v.end()
	if step.Kind == KillServer {
		sleep(ctx, step.For)
	}
	_ = f.site.raise(v)
	f.wg.Go(func() { // a report of the start before comes late
		sleep(ctx, step.For)
		f.site.say(ctx, step.Target%len(f.site.api), v.name, late)
	})
}
