package soak

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// upgradeCutoff is the time before the end of the load after which no wave of replacements
	// begins.
	upgradeCutoff = 3 * time.Second
	// memberTimeout is how long to wait until a replica is connected again, as an operator does
	// before replacing the next one.
	memberTimeout = 10 * time.Second
)

// replaceAll runs the steps that replace processes, wave by wave. Replicas of control are replaced
// one at a time, as the instructions for operators require.
func (f *faultInjector) replaceAll(ctx context.Context, steps []Step) {
	for len(steps) > 0 {
		n := 1
		for n < len(steps) && steps[n].Wave == steps[0].Wave {
			n++
		}
		wave := steps[:n]
		steps = steps[n:]
		sleep(ctx, wave[0].At-f.rec.now())
		if ctx.Err() != nil || f.rec.now() > f.rec.loadDuration()-upgradeCutoff {
			f.rec.update(func(h *History) { h.Skipped += len(wave) + len(steps) })
			return
		}
		var wg sync.WaitGroup
		var controls []Step
		for _, s := range wave {
			if n, ok := strings.CutPrefix(s.Process, gatewayPrefix); ok {
				number, _ := strconv.Atoi(n)
				wg.Go(func() { f.replaceGateway(ctx, s, number) })
				continue
			}
			controls = append(controls, s)
		}
		wg.Go(func() {
			for _, s := range controls {
				f.replaceControl(ctx, s)
			}
		})
		wg.Wait()
	}
}

// targetBuild returns the build to which a step moves a process.
func targetBuild(k Kind) build {
	if k == Downgrade {
		return productionBuild
	}
	return treeBuild
}

func (f *faultInjector) replaceGateway(ctx context.Context, step Step, n int) {
	p := f.cluster.processes[step.Process]
	sleep(ctx, step.For)
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	if ctx.Err() != nil {
		return
	}
	defer f.recordStep(step, p.name)()
	awaitKill := f.scheduleKill(step, p, KillGateway)
	f.restartGateway(ctx, n, func() {
		p.setBuild(targetBuild(step.Kind))
		_ = p.start()
	})
	awaitKill(ctx)
}

func (f *faultInjector) replaceControl(ctx context.Context, step Step) {
	sleep(ctx, step.For)
	p := f.cluster.processes[f.resolveProcess(ctx, step)]
	if p == nil {
		return
	}
	if step.Empty {
		f.diskMu.Lock()
		defer f.diskMu.Unlock()
	}
	func() {
		p.restartMu.Lock()
		defer p.restartMu.Unlock()
		if ctx.Err() != nil {
			return
		}
		defer f.recordStep(step, p.name)()
		awaitKill := f.scheduleKill(step, p, KillControl)
		p.stop(syscall.SIGTERM)
		if step.Empty {
			_ = f.cluster.wipeDisk(p.name)
		}
		p.setBuild(targetBuild(step.Kind))
		_ = p.start()
		awaitKill(ctx)
	}()
	f.cluster.awaitMember(ctx, p.name)
}

// resolveProcess returns the name of the process that a step replaces. For a leader or follower it
// is a replica that does not run the target build yet.
func (f *faultInjector) resolveProcess(ctx context.Context, step Step) string {
	if step.Process != leaderName && step.Process != followerName {
		return step.Process
	}
	var candidates []string
	for n := range f.cluster.shape.Controls {
		name := controlName(n)
		if f.cluster.processes[name].currentBuild() == targetBuild(step.Kind) {
			continue
		}
		c, ok := f.cluster.dumpControl(ctx, name)
		if leads := ok && c.Log.Lease; leads == (step.Process == leaderName) {
			return name
		}
		candidates = append(candidates, name)
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[0]
}

// scheduleKill schedules the kill of the process during a step if the plan has one. The returned
// function waits for the kill, and starts the process again if it was the new incarnation that was
// killed.
func (f *faultInjector) scheduleKill(step Step, p *process, kind Kind) func(context.Context) {
	if step.KillAfter == 0 {
		return func(context.Context) {}
	}
	killed := 0
	recordEnd := func() {}
	done := make(chan struct{})
	t := time.AfterFunc(step.KillAfter, func() {
		defer close(done)
		recordEnd = f.recordStep(Step{At: f.rec.now(), Kind: kind, Process: p.name}, p.name)
		killed = p.kill()
	})
	return func(ctx context.Context) {
		if ctx.Err() != nil && t.Stop() {
			return
		}
		<-done
		defer recordEnd()
		if killed == p.incarnations() {
			p.stop(syscall.SIGKILL)
			_ = p.start()
		}
	}
}

// afterMember calls a function once a replica is a connected member again.
func (f *faultInjector) afterMember(ctx context.Context, name string, then func()) {
	f.wg.Go(func() {
		defer then()
		f.cluster.awaitMember(ctx, name)
	})
}
