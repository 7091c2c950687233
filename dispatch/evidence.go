package dispatch

import (
	"math"
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/internal/mix"
)

// A server can pass its health checks and end all that it gets. In a large fleet each
// gateway sends a server a request in some seconds, so if each had to find out for
// itself, hundreds of requests would be lost at one server, which looks empty meanwhile
// since it ends them at once. So gateways tell each other, with their reservations, how
// many of their requests to a server went well and failed of late. The sums are judged
// by what they prove: a server that fails all is left alone after some failures of the
// whole fleet, one that fails one in twenty never.

// Evidence is how requests to a server went of late.
type Evidence struct {
	// Good and Bad are the requests that went well and that failed, Gateways the
	// number of gateways at which some failed.
	Good, Bad, Gateways int
}

// Add returns the sum of two.
func (e Evidence) Add(o Evidence) Evidence {
	return Evidence{Good: e.Good + o.Good, Bad: e.Bad + o.Bad, Gateways: e.Gateways + o.Gateways}
}

// Constants of evidence.
const (
	// evidenceTime is how long an outcome counts: in a shorter time a gateway of a
	// hundred sends too little to most servers, and a fault of a server lasts for
	// seconds.
	evidenceTime    = 2500 * time.Millisecond
	evidenceBuckets = 5
	// leastBad and leastWitnesses are the failures, and the gateways that saw them,
	// without which nothing is proved: two failures in a row happen by chance where
	// one in seven fails, and what one gateway sees may be its own connection.
	leastBad       = 3
	leastWitnesses = 2
	// sure is the number of standard deviations that the proven share of failures lies
	// below the observed one: one in forty proofs is wrong.
	sure = 2.0
	// leaveShare is the proven share of failures from which on a server is left alone.
	// A failure costs the request and the time until its caller comes back, some
	// three times what waiting for room elsewhere costs.
	leaveShare = 0.3
	// hopelessShare is the proven share from which on a server's room counts for
	// nothing, so that leaving it alone takes nothing from the others.
	hopelessShare = 0.6
	// idleSpare is the part of a group that may be left alone at most: if more than half
	// of it fails, the fault is elsewhere. busySpare is that of servers that do part of
	// their work while requests wait for room: each takes its room from them.
	idleSpare = 0.5
	busySpare = 1.0 / 6
	// leaveFor is how long a server is left alone after the last proof at first, and
	// mostLeaveFor the most, if it fails again when it is tried. returnTime is the
	// time over which gateways come back to it, few at first.
	leaveFor     = 500 * time.Millisecond
	mostLeaveFor = 4 * time.Second
	returnTime   = 2 * time.Second
	// returnDraw is how long a draw holds whether a gateway tries the server.
	returnDraw = 200 * time.Millisecond
)

// evidence keeps the outcomes of one gateway's requests to one server: those that went well
// and those that failed.
type evidence struct{ outcomes window }

// note counts an outcome.
func (e *evidence) note(now time.Time, bad bool) {
	if e.outcomes.parts == nil {
		e.outcomes = newWindow(evidenceBuckets, evidenceTime/evidenceBuckets)
	}
	c := e.outcomes.at(now)
	if bad {
		c.b++
	} else {
		c.a++
	}
}

// sum returns what counts now.
func (e *evidence) sum(now time.Time) Evidence {
	var out Evidence
	out.Good, out.Bad = e.outcomes.sum(now)
	if out.Bad > 0 {
		out.Gateways = 1
	}
	return out
}

// provenShare is the least share of failures that the evidence proves (the lower end of
// the interval of Wilson, 1927); zero if there is too little.
func (e Evidence) provenShare(witnesses int) float64 {
	if e.Bad < leastBad || e.Gateways < witnesses {
		return 0
	}
	n := float64(e.Bad + e.Good)
	share := float64(e.Bad) / n
	spread := sure * math.Sqrt(share*(1-share)/n+sure*sure/(4*n*n))
	return (share + sure*sure/(2*n) - spread) / (1 + sure*sure/n)
}

// left is a server that the fleet leaves alone.
type left struct {
	// until is when the first gateways may try it again; zero if it is not left alone.
	until time.Time
	// span is how long it was left alone the last time.
	span time.Duration
}

// judge leaves servers alone that fail, by what all gateways have seen.
func (f *Fleet) judge(now time.Time) {
	if f.groups == nil {
		f.regroup(now)
	}
	witnesses := min(leastWitnesses, f.Others.Known)
	for _, list := range f.groups {
		f.judgeGroup(now, list, witnesses)
	}
}

type suspect struct {
	server *Server
	share  float64
}

func (f *Fleet) judgeGroup(now time.Time, list []*Server, witnesses int) {
	var suspects []suspect
	for _, s := range list {
		share := s.seen.sum(now).Add(s.OthersSeen).provenShare(witnesses)
		if share >= leaveShare {
			suspects = append(suspects, suspect{s, share})
		}
	}
	if len(suspects) == 0 {
		return
	}
	sort.Slice(suspects, func(i, j int) bool { return suspects[i].share > suspects[j].share })
	spare := f.spare()
	for i, x := range suspects {
		part := float64(i+1) / float64(len(list))
		if x.share >= hopelessShare && part <= idleSpare || part <= spare {
			x.server.leave(now)
		}
	}
}

// spare is the part of a group that may be left alone while its servers do part of their
// work.
func (f *Fleet) spare() float64 {
	if f.Others.Queued > 0 {
		return busySpare
	}
	return idleSpare
}

// leave has a server left alone for a while from now on. One that fails again soon after
// it was tried is left alone for longer.
func (s *Server) leave(now time.Time) {
	l := &s.left
	switch {
	case l.until.IsZero() || now.Sub(l.until) > 2*returnTime+mostLeaveFor:
		l.span = leaveFor
	case now.After(l.until.Add(evidenceTime)):
		l.span = min(2*l.span, mostLeaveFor)
	}
	l.until = now.Add(l.span)
}

// shunned tells whether the fleet leaves a server alone now. After that time gateways
// come back to it one after the other, so that a server that still fails ends few
// requests.
func (s *Server) shunned(now time.Time) bool {
	if s.left.until.IsZero() {
		return false
	}
	back := now.Sub(s.left.until)
	if back < 0 {
		return true
	}
	if back >= returnTime {
		return false
	}
	draw := mix.Pair(s.rank, uint64(now.UnixNano()/int64(returnDraw)))
	return float64(draw) >= float64(back)/float64(returnTime)*math.MaxUint64
}
