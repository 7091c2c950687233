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

// Options are what a run needs to know.
type Options struct {
	// Binary is the path of the ledgepin binary, Dir a folder for settings, data
	// and logs.
	Binary, Dir string
	Seed        uint64
	Length      time.Duration
	Shape       Shape
	// Plan overrides the plan that is drawn from the seed.
	Plan []Step
	// Production is the path of another build's binary, on which all processes start; they
	// are replaced by those of Binary, unless Stay is set.
	Production string
	NoUpgrade  bool
	// Calm leaves out all that is no planned work.
	PlannedOnly bool
	// Without are kinds of steps that are left out.
	Without []Kind
	// PlainTexts has the events of streams hold nothing but plain reports.
	PlainTexts bool
}

// Run plays one run and returns what was seen. An error means that the run
// could not be played, not that a rule was broken.
func Run(ctx context.Context, o Options) (*History, error) {
	plan, order, path := o.plan()
	rec := &recorder{start: time.Now()}
	rec.h = History{Seed: o.Seed, Length: o.Length, Shape: o.Shape, Plan: plan, Order: order, Path: path, MostHeld: map[string]int64{}, LeftHeld: map[string]int64{}}
	s, err := newSite(o, rec)
	if err != nil {
		return nil, err
	}
	defer s.close()
	background, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	ops := &operators{site: s, rec: rec}
	wg.Go(func() { s.beats(background) })
	ops.change(ctx, appService)
	if err := s.awaitReady(ctx, ops); err != nil {
		return nil, err
	}
	rec.add(func(*History) { rec.start = time.Now() })
	s.started.Store(o.Production == "") // a build that is replaced may know no cold servers
	rec.add(func(h *History) { h.Puts[0].Sent, h.Puts[0].Ended = 0, 0 })

	loaded, endLoad := context.WithTimeout(ctx, o.Length)
	defer endLoad()
	l := newLoad(s, rec, o.Seed)
	if !o.PlainTexts {
		l.texts = oddTexts
	}
	wg.Go(func() { ops.reads(background) })
	wg.Go(func() { ops.probe(background) })
	wg.Go(func() { s.watch(background) })
	wg.Go(func() { s.badReports(loaded, o.Seed) })
	l.wg.Go(func() { l.deadly(loaded, o.Seed) })
	f := &faults{site: s, rec: rec, load: l, ops: ops}
	wg.Go(func() { f.play(loaded, plan) })
	l.run(loaded)
	f.wg.Wait()
	s.readBack(ctx, ops)
	s.settle(ctx)
	stop()
	wg.Wait()
	s.collect()
	if err := s.countRefusals(); err != nil {
		return nil, err
	}
	return &rec.h, ctx.Err()
}

// plan returns the plan of a run, and how builds are replaced in it.
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
		// Builds that are replaced may know no evacuations.
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

// startTime is how long a deployment may take to serve.
const startTime = 20 * time.Second

// awaitReady waits until each gateway calls itself ready and knows servers.
func (s *site) awaitReady(ctx context.Context, ops *operators) error {
	for end := time.Now().Add(startTime); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		ready := 0
		for n := range s.front {
			if status, _, err := s.call(ctx, http.MethodGet, "http://"+s.ready[n]+"/-/ready", ""); err != nil || status != http.StatusOK {
				continue
			}
			if ops.show(ctx, n, 1) == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.front) {
			return nil
		}
	}
	return fmt.Errorf("soak: the deployment does not get ready")
}

// readBack reads the table until a replica of control answers.
func (s *site) readBack(ctx context.Context, ops *operators) {
	for end := time.Now().Add(startTime); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		for n := range s.api {
			if ops.read(ctx, n).Status == http.StatusOK {
				return
			}
		}
	}
}

// settleTime is how long engines may hold memory after the last request.
const settleTime = 2 * time.Second

// settle waits until engines and gateways hold nothing any more, and notes what they do.
func (s *site) settle(ctx context.Context) {
	for n := range s.front {
		s.settleGateway(ctx, n)
	}
	for end := time.Now().Add(settleTime); ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		held, holds := s.held()
		if len(held)+holds == 0 {
			return
		}
		if time.Now().After(end) {
			s.rec.add(func(h *History) { h.HeldKV, h.HeldRoom = held, holds })
			return
		}
	}
}

func (s *site) settleGateway(ctx context.Context, n int) {
	for end := time.Now().Add(settleTime); ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		held, ok := s.heldBytes(ctx, n)
		if ok && held == 0 {
			return
		}
		if time.Now().After(end) {
			s.rec.add(func(h *History) { h.LeftHeld[gatewayName(n)] = held })
			return
		}
	}
}

// held returns the KV caches and holds at the servers that are there.
func (s *site) held() (kv []HeldKV, holds int) {
	for _, v := range s.servers {
		b, _ := v.now()
		n, _ := b.Holds()
		holds += n
		for _, k := range s.group.HeldAt(b) {
			kv = append(kv, HeldKV{Request: k.Request, MadeAt: k.Made.Sub(s.rec.start)})
		}
	}
	return kv, holds
}

// collect takes what the servers saw into the history.
func (s *site) collect() {
	s.pastMu.Lock()
	defer s.pastMu.Unlock()
	s.rec.add(func(h *History) {
		for _, b := range s.past {
			service := engineService
			if b.CurrentRole() == "" {
				service = appService
			}
			for _, a := range b.Arrivals() {
				h.Arrivals = append(h.Arrivals, s.arrival(b, service, a))
			}
			for _, l := range b.Limited() {
				h.Limited = append(h.Limited, LimitedArrival{Server: b.ID, ID: l.ID, Path: l.Path, Named: len(l.Named) > 0, At: l.At.Sub(s.rec.start)})
			}
			for _, a := range b.Asked() {
				h.Asked = append(h.Asked, s.askedArrival(b, a))
			}
			for _, o := range b.Orders() {
				h.Orders = append(h.Orders, RoleOrder{Server: b.ID, Holder: o.Holder, Fence: o.Fence, At: o.At.Sub(s.rec.start)})
			}
		}
	})
}

func (s *site) arrival(b *standin.Backend, service string, a standin.Arrival) Arrival {
	out := Arrival{Arrival: a, Server: b.ID, Service: service, Zone: s.zoneOf[b.ID], At: a.At.Sub(s.rec.start)}
	if !a.Ended.IsZero() {
		out.Ended = a.Ended.Sub(s.rec.start)
	}
	return out
}
