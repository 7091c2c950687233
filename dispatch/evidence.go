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
	minFailures  = 3
	minWitnesses = 2
	// sure is the number of standard deviations that the proven share of failures lies
	// below the observed one: one in forty proofs is wrong.
	zScore = 2.0
	// leaveShare is the proven share of failures from which on a server is left alone.
	// A failure costs the request and the time until its caller comes back, some
	// three times what waiting for room elsewhere costs.
	provenEjectShare = 0.3
	// hopelessShare is the proven share from which on a server's room counts for
	// nothing, so that leaving it alone takes nothing from the others.
	uselessShare = 0.6
	// idleSpare is the part of a group that may be left alone at most: if more than half
	// of it fails, the fault is elsewhere. busySpare is that of servers that do part of
	// their work while requests wait for room: each takes its room from them.
	maxEjectedIdle = 0.5
	maxEjectedBusy = 1.0 / 6
	// leaveFor is how long a server is left alone after the last proof at first, and
	// mostLeaveFor the most, if it fails again when it is tried. returnTime is the
	// time over which gateways come back to it, few at first.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	readmitTime = 2 * time.Second
	// returnDraw is how long a draw holds whether a gateway tries the server.
	readmitDrawInterval = 200 * time.Millisecond
)

// evidence keeps the outcomes of one gateway's requests to one server: those that went well
// and those that failed.
type evidence struct{ outcomes window }

// note counts an outcome.
func (e *evidence) record(now time.Time, bad bool) {
	if e.outcomes.buckets == nil {
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
	if e.Bad < minFailures || e.Gateways < witnesses {
		return 0
	}
	n := float64(e.Bad + e.Good)
	share := float64(e.Bad) / n
	margin := zScore * math.Sqrt(share*(1-share)/n+zScore*zScore/(4*n*n))
	return (share + zScore*zScore/(2*n) - margin) / (1 + zScore*zScore/n)
}

// left is a server that the fleet leaves alone.
type ejection struct {
	// until is when the first gateways may try it again; zero if it is not left alone.
	until time.Time
	// span is how long it was left alone the last time.
	duration time.Duration
}

// judge leaves servers alone that fail, by what all gateways have seen.
func (f *Fleet) ejectFailing(now time.Time) {
	if f.groups == nil {
		f.regroup(now)
	}
	witnesses := min(minWitnesses, f.Others.Known)
	for _, list := range f.groups {
		f.ejectFailingIn(now, list, witnesses)
	}
}

type suspect struct {
	server *Server
	share  float64
}

func (f *Fleet) ejectFailingIn(now time.Time, list []*Server, witnesses int) {
	var suspects []suspect
	for _, s := range list {
		share := s.ownEvidence.sum(now).Add(s.OthersSeen).provenShare(witnesses)
		if share >= provenEjectShare {
			suspects = append(suspects, suspect{s, share})
		}
	}
	if len(suspects) == 0 {
		return
	}
	sort.Slice(suspects, func(i, j int) bool { return suspects[i].share > suspects[j].share })
	maxShare := f.maxEjectedShare()
	for i, x := range suspects {
		ejected := float64(i+1) / float64(len(list))
		if x.share >= uselessShare && ejected <= maxEjectedIdle || ejected <= maxShare {
			x.server.eject(now)
		}
	}
}

// spare is the part of a group that may be left alone while its servers do part of their
// work.
func (f *Fleet) maxEjectedShare() float64 {
	if f.Others.Queued > 0 {
		return maxEjectedBusy
	}
	return maxEjectedIdle
}

// leave has a server left alone for a while from now on. One that fails again soon after
// it was tried is left alone for longer.
func (s *Server) eject(now time.Time) {
	e := &s.ejection
	switch {
	case e.until.IsZero() || now.Sub(e.until) > 2*readmitTime+maxEjection:
		e.duration = minEjection
	case now.After(e.until.Add(evidenceTime)):
		e.duration = min(2*e.duration, maxEjection)
	}
	e.until = now.Add(e.duration)
}

// shunned tells whether the fleet leaves a server alone now. After that time gateways
// come back to it one after the other, so that a server that still fails ends few
// requests.
func (s *Server) ejected(now time.Time) bool {
	if s.ejection.until.IsZero() {
		return false
	}
	elapsed := now.Sub(s.ejection.until)
	if elapsed < 0 {
		return true
	}
	if elapsed >= readmitTime {
		return false
	}
	draw := mix.Pair(s.rank, uint64(now.UnixNano()/int64(readmitDrawInterval)))
	return float64(draw) >= float64(elapsed)/float64(readmitTime)*math.MaxUint64
}
