package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/origin"
	"github.com/ledgepin/ledgepin/registry"
)

// While the servers of a service are replaced by ones of another software version, streams that
// are resumed can use a part of them only. Their callers have waited already and have a part of
// the answer, and there are few of them, so they come before new streams, which can use all
// servers, and hold up none of these. While all servers have one version they wait like others.

// permitsVersion reports whether a stream may continue at a server.
func (w Work) permitsVersion(s *Server) bool {
	return !w.Pinned || s.Role == registry.Prefill || s.Version == w.Version
}

// restricted reports whether a request can use a part of the servers of its service only, because of
// their software versions.
func (f *Fleet) restricted(w Work) bool { return w.Pinned && f.versions.Mixed(w.Service) }

// VersionServed reports whether some server may continue a stream, now or after a pause or once it
// has capacity. A stream of an unknown version continues only if there are no others. If no server
// of the service is known yet, one may be.
func (f *Fleet) VersionServed(now time.Time, w Work) bool {
	if !w.Pinned {
		return true
	}
	if w.Version == "" && f.versions.Mixed(w.Service) {
		return false
	}
	others := false
	for _, s := range f.servers {
		if s.Service != w.Service || s.Role == registry.Prefill || !s.inService(now) {
			continue
		}
		if w.permits(s) {
			return true
		}
		others = true
	}
	return !others
}

// versionEndRate returns the expected number of runs per second that end at the engines where a
// pinned stream may continue; zero if it is not known.
func (f *Fleet) versionEndRate(w Work, r RunTimes) float64 {
	if r.Total <= 0 {
		return 0
	}
	runs := 0
	for _, s := range f.groups[group{w.Service, registry.Decode}] {
		if w.permits(s) {
			runs += s.Own.Runs + s.Others.Runs
		}
	}
	return float64(runs) / r.Total.Seconds()
}

// pinnedQueueTimeout returns how long a stream that is resumed waits for capacity, behind a number
// of others like it.
func (f *Fleet) pinnedQueueTimeout(now time.Time, w Work, limit time.Duration, ahead int, r RunTimes) time.Duration {
	f.group(now, w.Service, registry.Decode) // rebuilds outdated groups
	rate := f.versionEndRate(w, r)
	if rate > 0 && time.Duration(float64(ahead)/rate*float64(time.Second)) > limit {
		return 0
	}
	return limit
}

// PinnedRetryAfter returns the time after which the caller of a resumed stream that found no
// capacity at the servers of its version should retry: once a run has probably ended there, for it
// and for those that returned before; draw is uniform in [0, 1). It returns false if the request is
// not restricted to some of the servers.
func (f *Fleet) PinnedRetryAfter(now time.Time, w Work, ahead int, r RunTimes, draw float64) (time.Duration, bool) {
	if !f.restricted(w) {
		return 0, false
	}
	f.group(now, w.Service, registry.Decode) // rebuilds outdated groups
	rate := f.versionEndRate(w, r)
	if rate <= 0 {
		return time.Duration((1 + draw) * float64(minRetryAfter)), true
	}
	after := time.Duration((1 + draw) * float64(ahead+1) / rate * float64(time.Second))
	return min(max(after, minRetryAfter), maxRetryAfter), true
}

// NoteVersions records versions that servers of a service have had, as reported by a replica. A
// gateway works with a subset of the servers, and a replica may know of others before it.
func (f *Fleet) NoteVersions(now time.Time, list []origin.SeenVersion) bool {
	return f.versions.Merge(now, list)
}

// Mixed reports whether the servers of a service have had more than one version recently.
func (f *Fleet) Mixed(service string) bool { return f.versions.Mixed(service) }

// SoleVersion returns the only version that servers of a service have had recently; empty if none
// has reported one. It returns false if there was more than one or no server is known yet.
func (f *Fleet) SoleVersion(service string) (string, bool) {
	for _, s := range f.servers {
		if s.Service == service {
			return f.versions.Sole(service)
		}
	}
	return "", false
}

// ReportedAt returns the time of a server's last report.
func (s *Server) ReportedAt() time.Time { return s.reportedAt }

// sweepVersions records the versions of the present servers, and forgets those of earlier ones.
func (f *Fleet) sweepVersions(now time.Time) {
	for _, s := range f.servers {
		if !s.gone && s.State != registry.Gone {
			f.versions.Note(now, s.Service, s.Version)
		}
	}
	f.versions.Sweep(now)
}

// NewestNamed returns the present incarnation of a server; nil if it is not known.
func (f *Fleet) NewestNamed(name string) *Server {
	for _, s := range f.servers {
		if !s.gone && s.StableName() == name {
			return s
		}
	}
	return nil
}
