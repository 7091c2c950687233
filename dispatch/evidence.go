package dispatch

import (
	"math"
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/internal/stablehash"
)

// A server can pass its health checks and fail all its requests. In a large fleet each
// gateway sends a server one request in some seconds, so if each had to detect the failures
// by itself, hundreds of requests would be lost at one server, which looks empty meanwhile
// since it fails them at once. So gateways exchange, with their reservations, how many of
// their recent requests to a server succeeded and failed. A server is ejected if the sums
// prove a high share of failures. One that fails all requests is ejected after a few failures
// in the whole fleet, one that fails one in twenty never is.

// Evidence counts the outcomes of recent requests to a server. A gateway's dump writes its
// fields under their Go names.
type Evidence struct {
	// Good and Bad count the requests that succeeded and that failed, Gateways the gateways
	// at which some failed.
	Good, Bad, Gateways int
	// Lost counts the answers that the server lost, in all its incarnations, because of its
	// connection or its process, and the connections to a plain server that could not be
	// opened. They count as failed too.
	Lost int
}

// Add returns the sum of e and o.
func (e Evidence) Add(o Evidence) Evidence {
	return Evidence{Good: e.Good + o.Good, Bad: e.Bad + o.Bad, Gateways: e.Gateways + o.Gateways, Lost: e.Lost + o.Lost}
}

// Constants of evidence and ejection.
const (
	// evidenceTime is the time for which an outcome counts. In a shorter time, one gateway of
	// a hundred sends too few requests to most servers; a fault of a server lasts for
	// seconds.
	evidenceTime    = 2500 * time.Millisecond
	evidenceBuckets = 5
	// minFailures and minWitnesses are the failures, and the gateways that saw them, below
	// which nothing is proved: where one request in seven fails, two failures in a row happen
	// by chance, and failures at one gateway may come from its own connection.
	minFailures  = 3
	minWitnesses = 2
	// zScore is the number of standard deviations that the proven share of failures lies
	// below the observed one: one in forty proofs is wrong.
	zScore = 2.0
	// provenEjectShare is the proven share of failures at which a server is ejected. A
	// failure costs the request and the time until its caller retries, about three times as
	// much as waiting for capacity elsewhere.
	provenEjectShare = 0.3
	// uselessShare is the proven share at which a server's capacity counts for nothing, so
	// that ejecting it takes no capacity from the others.
	uselessShare = 0.6
	// maxEjectedIdle is the largest share of a group that may be ejected: if more than half
	// of it fails, the fault is elsewhere. maxEjectedBusy is the largest share, while
	// requests wait for capacity, of servers that still serve some of their requests: each
	// ejection takes their capacity away.
	maxEjectedIdle = 0.5
	maxEjectedBusy = 1.0 / 6
	// minEjection is the time for which a server is ejected after the last proof; maxEjection
	// bounds it if the server fails again when it is tried. readmitTime is the time over
	// which gateways return to the server, few at first.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	readmitTime = 2 * time.Second
	// readmitDrawInterval is the time for which a gateway's draw holds whether it tries the
	// server.
	readmitDrawInterval = 200 * time.Millisecond
)

// evidence holds the outcomes of one gateway's requests to one server, successes as a and
// failures as b of the window.
type evidence struct{ outcomes window }

// record counts an outcome.
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

// sum returns the outcomes that count now.
func (e *evidence) sum(now time.Time) Evidence {
	var out Evidence
	out.Good, out.Bad = e.outcomes.sum(now)
	if out.Bad > 0 {
		out.Gateways = 1
	}
	return out
}

// provenShare returns the smallest share of failures that the evidence proves, the lower end
// of the Wilson score interval; zero if there is too little evidence.
func (e Evidence) provenShare(witnesses int) float64 {
	if e.Bad < minFailures || e.Gateways < witnesses {
		return 0
	}
	n := float64(e.Bad + e.Good)
	share := float64(e.Bad) / n
	margin := zScore * math.Sqrt(share*(1-share)/n+zScore*zScore/(4*n*n))
	return (share + zScore*zScore/(2*n) - margin) / (1 + zScore*zScore/n)
}

// ejection is the time for which the gateways send a server no requests.
type ejection struct {
	// until is when the first gateways may try the server again; zero if it was not ejected.
	until time.Time
	// duration is the length of the last ejection.
	duration time.Duration
}

// ejectFailing ejects servers that fail, by the outcomes at all gateways.
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

// maxEjectedShare returns the largest share of a group that may be ejected while its servers
// still serve some of their requests.
func (f *Fleet) maxEjectedShare() float64 {
	if f.Others.Queued > 0 {
		return maxEjectedBusy
	}
	return maxEjectedIdle
}

// eject ejects a server from now on. One that fails again soon after it was tried is ejected
// for longer.
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

// ejected reports whether this gateway treats a server as ejected now. After the ejection,
// gateways return to the server one after the other, so that a server that still fails ends
// few requests.
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
	draw := stablehash.Pair(s.rank, uint64(now.UnixNano()/int64(readmitDrawInterval)))
	return float64(draw) >= float64(elapsed)/float64(readmitTime)*math.MaxUint64
}
