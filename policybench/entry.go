package policybench

import (
	"math/rand/v2"
	"time"

	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/placement"
	"github.com/ledgepin/ledgepin/router"
	"github.com/ledgepin/ledgepin/stream"
)

// entry runs a real router in virtual time.
type entry struct {
	b      *bench
	name   string
	router *router.Core
	alive  bool
}

func newEntry(b *bench, name string, p router.Policy, seed uint64) *entry {
	e := &entry{b: b, name: name, alive: true}
	view := placement.NewView("z", rand.New(rand.NewPCG(seed, 3)))
	e.router = router.New(view, router.Options{
		Policy: p, QueueLimit: 100000, RetryPercent: 10, StallAfter: 500 * time.Millisecond, MaxRecords: 16, Name: name,
	})
	b.every(router.TickInterval, func() {
		if e.alive {
			e.apply(e.router.Tick(b.now))
		}
	})
	return e
}

// request is the benchmark's own record of one request.
type request struct {
	arrival
	entry        *entry
	assembler    stream.Assembler
	firstTokenAt time.Time
	lastTokenAt  time.Time
	// ran reports whether an engine was asked to run it.
	ran     bool
	outcome string
	tokens  int
	// connectionLost reports whether a fault ended the caller's connection.
	connectionLost bool
	disconnectedAt time.Time
	memoryFreedAt  time.Time
}

// apply carries out the effects that the router returned.
func (e *entry) apply(effects []router.Effect) {
	for _, eff := range effects {
		e.applyOne(eff)
	}
}

func (e *entry) applyOne(eff router.Effect) {
	b := e.b
	switch x := eff.(type) {
	case router.SwitchAttempt:
		b.requestByID[x.ID.Req].assembler.StartAttempt(x.ID.Attempt)
	case router.Reserve:
		b.toServer(x.Server, func(s *server) { s.reserve(e, x) })
	case router.StartPrefill:
		b.toServer(x.Server, func(s *server) { s.startPrefill(e, x.ID) })
	case router.StartDecode:
		from := b.requestByID[x.ID.Req].assembler.Next()
		b.toServer(x.Server, func(s *server) { s.startDecode(e, x.ID, x.KV, from) })
	case router.Release:
		b.toServer(x.Server, func(s *server) { s.release(x.ID) })
	case router.Refuse:
		b.refuse(b.requestByID[x.Req], x)
	case router.Fail:
		b.setOutcome(b.requestByID[x.Req], "failed")
	}
}

func (e *entry) failed(server string, id lease.ID, step, detail string) {
	e.apply(e.router.Failed(e.b.now, server, id, fault.Step(step), detail, true))
}

// token receives one token of a decode, as the entry does from its stream.
func (e *entry) token(j *decodeJob, index int, end bool) {
	r := j.req
	if !e.alive || r.outcome != "" {
		return
	}
	parts, err := r.assembler.Accept(j.id.Attempt, stream.Chunk{Index: index})
	if err != nil {
		e.b.reportViolation("%s: %v", r.req.ID, err)
	}
	now := e.b.now
	for range parts {
		r.tokens++
		if r.firstTokenAt.IsZero() {
			r.firstTokenAt = now
		}
		r.lastTokenAt = now
		e.router.Token(now, j.id, r.assembler.Next())
	}
	if end && len(parts) > 0 {
		e.apply(e.router.Done(now, j.id, r.perToken()))
		e.b.setOutcome(r, "done")
	}
}

func (r *request) perToken() time.Duration {
	if r.tokens < 2 {
		return 0
	}
	return r.lastTokenAt.Sub(r.firstTokenAt) / time.Duration(r.tokens-1)
}

// metTargets reports whether the request has a complete answer within both targets.
func (r *request) metTargets() bool {
	return r.outcome == "done" && r.firstTokenAt.Sub(start.Add(r.at)) <= r.class.TTFT && r.perToken() <= r.class.TBT
}
