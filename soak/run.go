package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/standin"
)

// Options are the parameters of a run.
type Options struct {
	// Binary is the path of the ledgepin binary, Dir a folder for settings, data and logs.
	Binary, Dir string
	Seed        uint64
	Length      time.Duration
	Shape       Shape
	// Plan overrides the plan that is drawn from the seed.
	Plan []Step
	// Production is the path of another build's binary, on which all processes start. They are
	// replaced by processes of Binary unless NoUpgrade is set.
	Production string
	NoUpgrade  bool
	// PlannedOnly leaves out all steps but planned work.
	PlannedOnly bool
	// Without are kinds of steps to leave out.
	Without []Kind
	// PlainTexts uses plain texts only in the events of streams.
	PlainTexts bool
}

// Run performs a run and returns its history. An error means that the run could not be performed,
// not that a rule was broken.
func Run(ctx context.Context, o Options) (*History, error) {
	plan, order, path := o.plan()
	rec := &recorder{start: time.Now()}
	rec.h = History{Seed: o.Seed, Length: o.Length, Shape: o.Shape, Plan: plan, Order: order, Path: path, MostHeld: map[string]int64{}, LeftHeld: map[string]int64{}, MostResident: map[string]int64{}}
	cl, err := newCluster(o, rec)
	if err != nil {
		return nil, err
	}
	defer cl.close()
	backgroundCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	ops := &operators{cluster: cl, rec: rec}
	wg.Go(func() { cl.sendHeartbeats(backgroundCtx) })
	ops.putTable(ctx, appService)
	if err := cl.awaitReady(ctx, ops); err != nil {
		return nil, err
	}
	rec.update(func(*History) { rec.start = time.Now() })
	cl.marksCold.Store(o.Production == "") // a production build may not support cold servers
	rec.update(func(h *History) { h.Puts[0].Sent, h.Puts[0].Ended = 0, 0 })

	loadCtx, cancelLoad := context.WithTimeout(ctx, o.Length)
	defer cancelLoad()
	l := newLoad(cl, rec, o.Seed)
	if !o.PlainTexts {
		l.textMarker = oddTextMarker
	}
	wg.Go(func() { ops.readTables(backgroundCtx) })
	wg.Go(func() { ops.probeGateways(backgroundCtx) })
	wg.Go(func() { cl.watchAll(backgroundCtx) })
	wg.Go(func() { cl.sendBadReports(loadCtx, o.Seed) })
	l.wg.Go(func() { l.sendDeadly(loadCtx, o.Seed) })
	if o.Production == "" { // a production build may stop at such a name, or pass on a part of an answer
		wg.Go(func() { cl.sendInvalidNames(loadCtx, o.Seed) })
		l.wg.Go(func() { l.sendLongBodies(loadCtx) })
	}
	l.wg.Go(func() { l.sendPairs(loadCtx, o.Seed) })
	if o.Production == "" { // a production build may not track parts of prompts
		for n, p := range drawPoisonParts(o.Seed, o.Length) {
			l.wg.Go(func() { l.sendPoisonParts(loadCtx, p, o.Seed+uint64(n)) })
		}
	}
	f := &faultInjector{cluster: cl, rec: rec, load: l, ops: ops}
	wg.Go(func() { f.run(loadCtx, plan) })
	l.run(loadCtx)
	f.wg.Wait()
	cl.readFinalTable(ctx, ops)
	cl.awaitRelease(ctx)
	stop()
	wg.Wait()
	cl.collectArrivals()
	if err := cl.countRefusals(); err != nil {
		return nil, err
	}
	return &rec.h, ctx.Err()
}

// plan returns the plan of a run, and the order and path of its upgrade.
func (o Options) plan() (plan []Step, order, path string) {
	if o.Plan != nil {
		return o.Plan, "fixed", "fixed"
	}
	plan = NewPlan(o.Seed, o.Length, o.Shape)
	if o.Production != "" && !o.NoUpgrade {
		var steps []Step
		order, path, steps = NewUpgrade(o.Seed, o.Shape)
		plan = append(plan, steps...)
	}
	plan = slices.DeleteFunc(plan, func(s Step) bool {
		// A production build may not support evacuations and self-reports.
		return slices.Contains(o.Without, s.Kind) || o.Production != "" && slices.Contains([]Kind{EvacuateZone, ReportLimit, RequestPauses, ReportLeaving}, s.Kind)
	})
	if o.PlannedOnly {
		plan = slices.DeleteFunc(plan, func(s Step) bool { return !s.Kind.Planned() })
		for i := range plan {
			plan[i].KillAfter = 0
		}
	}
	return plan, order, path
}

// startTimeout is how long a deployment may take to become ready.
const startTimeout = 20 * time.Second

// awaitReady waits until each gateway reports that it is ready and serves requests.
func (cl *cluster) awaitReady(ctx context.Context, ops *operators) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		ready := 0
		for n := range cl.callerAddresses {
			if status, _, err := cl.call(ctx, http.MethodGet, "http://"+cl.readinessAddresses[n]+"/-/ready", ""); err != nil || status != http.StatusOK {
				continue
			}
			if ops.probeStatus(ctx, n, 1) == http.StatusOK {
				ready++
			}
		}
		if ready == len(cl.callerAddresses) {
			return nil
		}
	}
	return fmt.Errorf("soak: the deployment did not become ready")
}

// readFinalTable reads the table until a replica of control answers.
func (cl *cluster) readFinalTable(ctx context.Context, ops *operators) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		for n := range cl.apiAddresses {
			if ops.readTable(ctx, n).Status == http.StatusOK {
				return
			}
		}
	}
}

// settleTimeout is how long memory may be held after the last request.
const settleTimeout = 2 * time.Second

// awaitRelease waits until engines and gateways hold no memory, and records what they still hold at
// the timeout.
func (cl *cluster) awaitRelease(ctx context.Context) {
	for n := range cl.callerAddresses {
		cl.awaitGatewayRelease(ctx, n)
	}
	for end := time.Now().Add(settleTimeout); ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		held, holds := cl.heldMemory()
		if len(held)+holds == 0 {
			return
		}
		if time.Now().After(end) {
			cl.rec.update(func(h *History) { h.HeldKV, h.HeldRoom = held, holds })
			return
		}
	}
}

func (cl *cluster) awaitGatewayRelease(ctx context.Context, n int) {
	for end := time.Now().Add(settleTimeout); ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		held, ok := cl.heldBytes(ctx, n)
		if ok && held == 0 {
			return
		}
		if time.Now().After(end) {
			cl.rec.update(func(h *History) { h.LeftHeld[gatewayName(n)] = held })
			return
		}
	}
}

// heldMemory returns the KV caches and the number of holds at the running servers.
func (cl *cluster) heldMemory() (kv []HeldKV, holds int) {
	for _, srv := range cl.servers {
		b, _ := srv.current()
		n, _ := b.Holds()
		holds += n
		for _, k := range cl.group.HeldAt(b) {
			kv = append(kv, HeldKV{Request: k.Request, MadeAt: k.Created.Sub(cl.rec.start)})
		}
	}
	return kv, holds
}

// collectArrivals adds the observations of the servers to the history.
func (cl *cluster) collectArrivals() {
	cl.backendsMu.Lock()
	defer cl.backendsMu.Unlock()
	cl.rec.update(func(h *History) {
		for _, b := range cl.backends {
			service := engineService
			if b.CurrentRole() == "" {
				service = appService
			}
			for _, a := range b.Arrivals() {
				h.Arrivals = append(h.Arrivals, cl.newArrival(b, service, a))
			}
			for _, l := range b.LimitRecords() {
				h.Limited = append(h.Limited, LimitedArrival{Server: b.ID, ID: l.ID, Sender: l.Sender, Path: l.Path, Named: len(l.Limits) > 0, At: l.At.Sub(cl.rec.start)})
			}
			for _, a := range b.SelfReportRecords() {
				h.Asked = append(h.Asked, cl.newSelfReportArrival(b, a))
			}
			for _, o := range b.Orders() {
				h.Orders = append(h.Orders, RoleOrder{Server: b.ID, Holder: o.Holder, Fence: o.Fence, At: o.At.Sub(cl.rec.start)})
			}
		}
	})
}

func (cl *cluster) newArrival(b *standin.Backend, service string, a standin.Arrival) Arrival {
	out := Arrival{Arrival: a, Server: b.ID, Service: service, Zone: cl.zones[b.ID], At: a.At.Sub(cl.rec.start)}
	if !a.Ended.IsZero() {
		out.Ended = a.Ended.Sub(cl.rec.start)
	}
	return out
}
