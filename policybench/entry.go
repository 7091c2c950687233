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

// entry is the real router with a thin shell on virtual time.
type entry struct {
	b     *bench
	name  string
	core  *router.Core
	alive bool
}

func newEntry(b *bench, name string, p router.Policy, seed uint64) *entry {
	e := &entry{b: b, name: name, alive: true}
	view := placement.NewView("z", rand.New(rand.NewPCG(seed, 3)))
	e.core = router.New(view, router.Options{
		Policy: p, QueueLimit: 100000, RetryPercent: 10, StallAfter: 500 * time.Millisecond, MaxRecords: 16, Name: name,
	})
	b.every(router.TickInterval, func() {
		if e.alive {
			e.do(e.core.Tick(b.now))
		}
	})
	return e
}

// request is the harness's own view of one request.
type request struct {
	arrival
	entry *entry
	asm   stream.Assembler
	first time.Time
	last  time.Time
	// ran tells that an engine was asked to work.
	ran     bool
	outcome string
	count   int
	// cut tells that a fault ended the caller's connection.
	cut    bool
	goneAt time.Time
	freed  time.Time
}

// do carries out effects.
func (e *entry) do(effects []router.Effect) {
	for _, eff := range effects {
		e.one(eff)
	}
}

func (e *entry) one(eff router.Effect) {
	b := e.b
	switch x := eff.(type) {
	case router.SwitchAttempt:
		b.reqs[x.ID.Req].asm.StartAttempt(x.ID.Attempt)
	case router.Reserve:
		b.toServer(x.Server, func(s *server) { s.reserve(e, x) })
	case router.StartPrefill:
		b.toServer(x.Server, func(s *server) { s.startPrefill(e, x.ID) })
	case router.StartDecode:
		from := b.reqs[x.ID.Req].asm.Next()
		b.toServer(x.Server, func(s *server) { s.startDecode(e, x.ID, x.KV, from) })
	case router.Release:
		b.toServer(x.Server, func(s *server) { s.free(x.ID) })
	case router.Refuse:
		b.refused(b.reqs[x.Req], x)
	case router.Fail:
		b.end(b.reqs[x.Req], "failed")
	}
}

func (e *entry) failed(server string, id lease.ID, step, detail string) {
	e.do(e.core.Failed(e.b.now, server, id, fault.Step(step), detail, true))
}

// token takes one token of a decode, as the entry's stream does.
func (e *entry) token(j *decodeJob, index int, end bool) {
	r := j.req
	if !e.alive || r.outcome != "" {
		return
	}
	parts, err := r.asm.Accept(j.id.Attempt, stream.Chunk{Index: index})
	if err != nil {
		e.b.broken("%s: %v", r.req.ID, err)
	}
	now := e.b.now
	for range parts {
		r.count++
		if r.first.IsZero() {
			r.first = now
		}
		r.last = now
		e.core.Token(now, j.id, r.asm.Next())
	}
	if end && len(parts) > 0 {
		e.do(e.core.Done(now, j.id, r.perToken()))
		e.b.end(r, "done")
	}
}

func (r *request) perToken() time.Duration {
	if r.count < 2 {
		return 0
	}
	return r.last.Sub(r.first) / time.Duration(r.count-1)
}

// met tells whether the request has its whole answer within both targets.
func (r *request) met() bool {
	return r.outcome == "done" && r.first.Sub(start.Add(r.at)) <= r.class.TTFT && r.perToken() <= r.class.TBT
}
