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
	// lastUpgrade is how long before the end the last wave of replacements begins.
	lastUpgrade = 3 * time.Second
	// memberTime is how long is waited for a replica to be in touch again, as an operator
	// does before the next one is replaced.
	memberTime = 10 * time.Second
)

// replaceAll makes the steps that replace processes, wave by wave. Replicas of control are
// replaced one after the other, as operators are told to.
func (f *faults) replaceAll(ctx context.Context, steps []Step) {
	for len(steps) > 0 {
		n := 1
		for n < len(steps) && steps[n].Wave == steps[0].Wave {
			n++
		}
		wave := steps[:n]
		steps = steps[n:]
		sleep(ctx, wave[0].At-f.rec.now())
		if ctx.Err() != nil || f.rec.now() > f.rec.length()-lastUpgrade {
			f.rec.add(func(h *History) { h.Skipped += len(wave) + len(steps) })
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

// wantedBuild is the build that a step brings a process to.
func wantedBuild(k Kind) build {
	if k == Downgrade {
		return production
	}
	return tree
}

func (f *faults) replaceGateway(ctx context.Context, step Step, n int) {
	p := f.site.processes[step.Process]
	sleep(ctx, step.For)
	p.life.Lock()
	defer p.life.Unlock()
	if ctx.Err() != nil {
		return
	}
	defer f.begin(step, p.name)()
	hit := f.hit(step, p, KillGateway)
	f.restartGateway(ctx, n, func() {
		p.use(wantedBuild(step.Kind))
		_ = p.start()
	})
	hit(ctx)
}

func (f *faults) replaceControl(ctx context.Context, step Step) {
	sleep(ctx, step.For)
	p := f.site.processes[f.meant(ctx, step)]
	if p == nil {
		return
	}
	if step.Empty {
		f.disk.Lock()
		defer f.disk.Unlock()
	}
	func() {
		p.life.Lock()
		defer p.life.Unlock()
		if ctx.Err() != nil {
			return
		}
		defer f.begin(step, p.name)()
		hit := f.hit(step, p, KillControl)
		p.end(syscall.SIGTERM)
		if step.Empty {
			_ = f.site.wipe(p.name)
		}
		p.use(wantedBuild(step.Kind))
		_ = p.start()
		hit(ctx)
	}()
	f.site.awaitMember(ctx, p.name)
}

// meant returns the name of the replica that a step means: one that is not of the wanted
// build yet.
func (f *faults) meant(ctx context.Context, step Step) string {
	if step.Process != leaderName && step.Process != followerName {
		return step.Process
	}
	var left []string
	for n := range f.site.shape.Controls {
		name := controlName(n)
		if f.site.processes[name].runsOn() == wantedBuild(step.Kind) {
			continue
		}
		c, ok := f.site.control(ctx, name)
		if leads := ok && c.Log.Lease; leads == (step.Process == leaderName) {
			return name
		}
		left = append(left, name)
	}
	if len(left) == 0 {
		return ""
	}
	return left[0]
}

// hit has a kill come in the middle of a step if one is drawn. What it returns waits for the
// kill, and starts the process again if the new one was killed.
func (f *faults) hit(step Step, p *process, kind Kind) func(context.Context) {
	if step.KillAfter == 0 {
		return func(context.Context) {}
	}
	killed := 0
	over := func() {}
	done := make(chan struct{})
	t := time.AfterFunc(step.KillAfter, func() {
		defer close(done)
		over = f.begin(Step{At: f.rec.now(), Kind: kind, Process: p.name}, p.name)
		killed = p.kill()
	})
	return func(ctx context.Context) {
		if ctx.Err() != nil && t.Stop() {
			return
		}
		<-done
		defer over()
		if killed == p.number() {
			p.end(syscall.SIGKILL)
			_ = p.start()
		}
	}
}

// whenMember calls a function once a replica is a member in touch again.
func (f *faults) whenMember(ctx context.Context, name string, then func()) {
	f.wg.Go(func() {
		defer then()
		f.site.awaitMember(ctx, name)
	})
}
