package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/origin"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wire"
)

// A caller that returns for the rest of its stream is served only if it is known where the stream
// began: by this gateway's own record, because all servers have had the same version, or by the
// record of a replica. What is unknown is rejected, since the events of two versions don't fit
// together.

const (
	// originTimeout bounds the time in which the origin of a stream is looked for. It leaves time
	// for the rest within usual gap targets.
	originTimeout = 250 * time.Millisecond
	// originRetry is the time between two questions: a report takes a tick of the gateway and one
	// of its replica.
	originRetry = 80 * time.Millisecond
	// maxQuestions bounds the questions about an attempt that no replica knows.
	maxQuestions = 2
)

// originSource is how the origin of a stream became known, in logs and metrics.
type originSource string

const (
	// fromOwn: by this gateway's record.
	fromOwn originSource = "own"
	// fromSole: all servers have had the same version.
	fromSole originSource = "sole"
	// fromReplica: by the record of a replica.
	fromReplica originSource = "replica"
	// fromNone: it is not known.
	fromNone originSource = "unknown"
)

// originKey returns the key of the attempt that began, or will begin, the stream of a request.
func (q *request) originKey() (origin.Key, bool) {
	id := q.id
	if q.continues {
		id = q.resumes
	}
	return origin.KeyOf(organisationName(q.organisation), id), id != ""
}

// resolveOrigin returns where the stream began that a request continues.
func (g *Gateway) resolveOrigin(ctx context.Context, table *route.Table, q *request) (origin.Origin, *refusal) {
	started := g.clock.Now()
	at, source := g.findOrigin(ctx, q)
	reason := ""
	switch {
	case source == fromNone:
		reason = "it is not known which version began the stream"
	case !q.route.Includes(at.Service) || table.Service(at.Service) == nil:
		reason = "the service that began the stream does not serve the route any more"
	}
	metric.ResumedStreams.WithLabelValues(q.route.Name, string(source)).Inc()
	event.StreamOrigin.Log(g.log, "id", q.id, "route", q.route.Name, "resumes", q.resumes, "source", string(source), "service", at.Service,
		"version", at.Version, "ms", g.clock.Since(started).Milliseconds(), "refused", reason)
	if reason != "" {
		return at, q.refuseContinuation(reason)
	}
	return at, nil
}

// refuseContinuation refuses a request for the rest of a stream that can't be continued now.
func (q *request) refuseContinuation(reason string) *refusal {
	return &refusal{route: q.route.Name, status: http.StatusServiceUnavailable, reason: reason, retryAfter: reportRetry}
}

// findOrigin finds out where the stream of a request began.
func (g *Gateway) findOrigin(ctx context.Context, q *request) (origin.Origin, originSource) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	key, named := q.originKey()
	for asked := 0; ; asked++ {
		if named {
			if at, doubt, ok := g.origins.findDoubtful(key); ok {
				return at, sourceIf(g.settleForReturn(ctx, q, at, doubt), fromOwn)
			}
			if at, known, recorded := g.origins.find(key); recorded {
				return at, sourceIf(known, fromOwn)
			}
		}
		at, ok, certain := g.soleOrigin(q)
		if ok {
			return at, fromSole
		}
		if named {
			if at, doubt, known, recorded := g.askOrigin(ctx, key); recorded {
				known = known || doubt.Server != "" && g.settleForReturn(ctx, q, at, doubt)
				return at, sourceIf(known, fromReplica)
			}
		}
		if certain && (!named || asked+1 >= maxQuestions) || !g.links.anyOpen() {
			return origin.Origin{}, fromNone
		}
		wait.For(ctx, originRetry)
		if ctx.Err() != nil {
			return origin.Origin{}, fromNone
		}
	}
}

func sourceIf(known bool, s originSource) originSource {
	if known {
		return s
	}
	return fromNone
}

// soleOrigin returns where all streams of a route have begun, if that is the same for all. certain
// means that the answer will not change when more becomes known.
func (g *Gateway) soleOrigin(q *request) (at origin.Origin, ok, certain bool) {
	service := q.route.SoleService()
	if service == "" || g.origins.mayDiffer(q.route) || g.fleet.mixed(service) {
		return at, false, true
	}
	if !g.inTouch() {
		return at, false, false // there may be versions that this gateway doesn't know of
	}
	version, ok := g.fleet.soleVersion(service)
	return origin.Origin{Service: service, Version: version}, ok, false
}

// askOrigin asks the replicas where an attempt began.
func (g *Gateway) askOrigin(ctx context.Context, k origin.Key) (at origin.Origin, d origin.Doubt, known, recorded bool) {
	addresses, list := g.links.originLinks()
	if len(list) == 0 {
		return at, d, false, false
	}
	return g.origins.ask(ctx, k, addresses, func() {
		m := &wire.Message{Origins: &wire.Origins{Ask: k[:]}}
		for i, l := range list {
			if l.Send(m) != nil {
				g.origins.noteLinkDown(addresses[i])
			}
		}
	})
}

// originLinks returns the replicas that keep origins.
func (l *links) originLinks() (addresses []string, list []*wire.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, p := range l.peers {
		if p.link != nil && p.link.Version() >= wire.OriginsVersion {
			addresses, list = append(addresses, address), append(list, p.link)
		}
	}
	return addresses, list
}

// anyOpen reports whether there is a link to any replica.
func (l *links) anyOpen() bool { return len(l.openPeers()) > 0 }

// sendOrigins reports the streams that have begun here to the hub.
func (l *links) sendOrigins(hub *wire.Link) {
	if hub.Version() < wire.OriginsVersion {
		return
	}
	if list := l.g.origins.unsent(hub, l.g.fleet.mixed); !list.Empty() {
		_ = hub.Send(&wire.Message{Origins: wire.OriginsOf(list)})
	}
}

// handleOrigins applies a replica's message about versions and origins.
func (l *links) handleOrigins(address string, m *wire.Origins) {
	if l.g.fleet.noteVersions(m.Versions) {
		event.SoftwareVersions.Log(l.g.log, "versions", describeVersions(m.Versions))
	}
	l.g.origins.handleAnswer(address, m)
}

// describeVersions returns the versions for a log line.
func describeVersions(list []origin.SeenVersion) []string {
	const most = 16
	var out []string
	for _, s := range list[:min(len(list), most)] {
		out = append(out, s.Service+" "+s.Version)
	}
	return out
}

// requireVersion refuses a request for the rest of a stream if no server of its version is there.
func (g *Gateway) requireVersion(ctx context.Context, q *request) *refusal {
	if !q.continues || g.fleet.versionServed(q.work) {
		return nil
	}
	// The hub sends some servers of the version if there are none in this gateway's subset.
	if key, named := q.originKey(); named {
		ctx, cancel := context.WithTimeout(ctx, originRetry)
		defer cancel()
		g.askOrigin(ctx, key)
		if g.fleet.versionServed(q.work) {
			return nil
		}
	}
	return q.refuseContinuation(noServerOfVersion)
}

const noServerOfVersion = "no server of the version that began the stream is in service"

// noteStream records that a server begins or continues the stream of a request, before any part of
// it is passed on. From now on the request is bound to the server's version. confirmed is set if the
// server has confirmed its incarnation.
func (g *Gateway) noteStream(q *request, s *dispatch.Server, confirmed bool) {
	at, name := origin.Origin{Service: s.Service, Version: s.Version}, s.StableName()
	q.began, q.doubt = at, origin.Doubt{}
	if confirmed {
		name = ""
	} else if g.canConfirm(s) {
		q.doubt = origin.Doubt{Server: s.ID, Begun: g.clock.Now()}
	}
	q.work.Pinned, q.work.Version = true, s.Version
	if key, named := q.originKey(); named && q.route.Resumable {
		if q.doubt.Server == "" {
			g.origins.note(key, at, name)
		} else {
			g.origins.noteDoubtful(key, at, q.doubt)
		}
	}
}

// versionCertain reports whether it is certain which version sent the events of a stream so far, so
// that it may continue elsewhere.
func (g *Gateway) versionCertain(ctx context.Context, q *request) bool {
	if key, named := q.originKey(); named {
		if at, doubt, ok := g.origins.findDoubtful(key); ok {
			return g.settleWithinAnswer(ctx, q, at, doubt)
		}
		if _, known, recorded := g.origins.find(key); recorded {
			return known
		}
	}
	return q.doubt.Server == "" || g.settleWithinAnswer(ctx, q, q.began, q.doubt)
}
