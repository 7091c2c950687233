package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/metric"
)

// Times and bounds of migrations.
const (
	// firstCopyTimeout bounds the first copy of a run, which continues meanwhile. finalCopyTimeout
	// bounds the copy of the rest, while the run is stopped.
	firstCopyTimeout = 1500 * time.Millisecond
	finalCopyTimeout = 700 * time.Millisecond
	// leavingCopyTimeout bounds the first copy if the engine is leaving: a run that can't continue
	// elsewhere resumes there, while the engine still accepts it.
	leavingCopyTimeout = 400 * time.Millisecond
	// migrationRetryDelay is the time after which a run that could not migrate tries again.
	migrationRetryDelay = 150 * time.Millisecond
	// minRemainingEvents is the minimum number of events still to come for which a migration
	// justifies the bytes copied.
	minRemainingEvents = 3
)

// migrationState is the state of the migrations of a request's run.
type migrationState struct {
	// current is the migration under way, nil if there is none.
	current   *migration
	notBefore time.Time
	count     int
	// stopped is set if the run may have been stopped where it is.
	stopped bool
}

// take returns the migration under way, if there is one, and clears it.
func (m *migrationState) take() *migration {
	out := m.current
	m.current = nil
	return out
}

// migration moves a run to another engine. The run's KV cache is copied while the run continues;
// then the run is stopped, the rest is copied, and the request is sent to the other engine with the
// handle of the copy. For the engines it remains the same run.
type migration struct {
	reason   dispatch.MigrationReason
	from, to dispatch.Server
	// work is the reservation at the engine to.
	work    dispatch.Work
	started time.Time
	// done is closed when the fields below are set.
	done chan struct{}
	// kv refers to the copy. stopped is set if the run has ended at the engine from, copied if the
	// engine to has the complete run, and maybeStopped if it is unknown whether the run has
	// stopped, since the answer to the stop was lost.
	kv                            backend.KV
	maybeStopped, stopped, copied bool
	err                           error
}

// checkMigration ends a migration that failed before the run was stopped: the run continues where
// it is, and may try again.
func (n *generation) checkMigration() {
	m := n.migrations.current
	if m == nil {
		return
	}
	select {
	case <-m.done:
	default:
		return
	}
	if m.stopped {
		return // its stream ends, and followMigration continues
	}
	n.migrations.current = nil
	n.migrations.stopped = n.migrations.stopped || m.maybeStopped || m.stopped
	n.migrations.notBefore = n.g.clock.Now().Add(migrationRetryDelay)
	n.abandonMigration(m, m.err)
}

// startMigration starts a migration, unless one is under way or has just failed.
func (n *generation) startMigration(ctx context.Context, reason dispatch.MigrationReason) {
	engine, now := n.q.service.Engine, n.g.clock.Now()
	if n.g.cfg.Protocol.CopyRun == nil || !engine.Migrates || !n.stream.canMigrate() || n.migrations.current != nil || now.Before(n.migrations.notBefore) {
		return
	}
	n.migrations.notBefore = now.Add(migrationRetryDelay)
	if n.q.work.Expected-n.q.work.Generated < minRemainingEvents*engine.EventTokens {
		return
	}
	if !n.g.narrowRegions(n.q) || n.g.contents.blocked(n.q) > 0 {
		return
	}
	to, ok := n.g.fleet.migrationTarget(n.decodeReserved, n.q.work, engine)
	if !ok {
		return
	}
	m := &migration{reason: reason, from: *n.pair.Decode, to: to, work: n.q.work, started: now, done: make(chan struct{})}
	n.migrations.current = m
	n.g.wg.Go(func() { n.copyRun(ctx, m) })
}

// copyRun copies a run, stops it and copies the rest. It runs concurrently with the stream.
func (n *generation) copyRun(ctx context.Context, m *migration) {
	defer close(m.done)
	if !n.g.versionCertain(ctx, n.q) {
		m.err = errUnconfirmed
		return
	}
	_, kv, err := n.requestCopy(ctx, m, false)
	if err != nil {
		m.err = err
		return
	}
	m.kv = kv
	if m.err = ctx.Err(); m.err != nil {
		return // the request has ended
	}
	status, kv, err := n.requestCopy(ctx, m, true)
	m.err = err
	if kv.Handle == "" {
		m.maybeStopped = status == 0 && backend.WasSent(err) || status == http.StatusOK || errors.Is(err, errUnidentifiedCopy)
		return
	}
	m.kv, m.stopped = kv, true
	m.copied = status == http.StatusOK
}

// requestCopy has a run copied. If the other engine has no capacity for it but the run was stopped,
// the answer still has the handle of the copy, because the engine then keeps the run's KV cache.
// The call outlives the caller's request: the engine makes the copy in any case, and it can only be
// freed by its handle. A copy whose handle comes after the call has timed out is freed.
func (n *generation) requestCopy(ctx context.Context, m *migration, stop bool) (int, backend.KV, error) {
	limit := firstCopyTimeout
	switch {
	case stop:
		limit = finalCopyTimeout
	case m.reason == dispatch.Leaving:
		limit = leavingCopyTimeout
	}
	ctx, cancel := n.g.detachedContext(ctx, limit)
	defer cancel()
	p := &n.g.cfg.Protocol
	r := n.identifiedCallTo(&m.from, p.CopyRun(n.q.id, m.to.Address, stop), copyCall, func(body []byte) string {
		kv, _ := p.ParseKV(body)
		return kv.Handle
	})
	out, ok := allocate(ctx, n.g, r, func(r backend.Request) copyAnswer {
		return n.sendCopy(ctx, r)
	}, func(late copyAnswer) {
		if late.kv.Handle != "" {
			n.freeInBackground(&m.from, p.FreeKV(late.kv.Handle))
		}
	})
	if !ok {
		return 0, backend.KV{}, &backend.Error{Sent: true, Cause: ctx.Err()}
	}
	return out.status, out.kv, out.err
}

// copyAnswer is the answer to a call for the copy of a run.
type copyAnswer struct {
	status int
	kv     backend.KV
	err    error
}

func (n *generation) sendCopy(ctx context.Context, r backend.Request) copyAnswer {
	p := &n.g.cfg.Protocol
	a, err := n.g.pool.Do(ctx, &p.Headers, r)
	if err != nil {
		return copyAnswer{err: err}
	}
	body, err := a.ReadAll(backend.MaxCallBytes)
	if err != nil {
		return copyAnswer{status: a.Status, err: err}
	}
	kv, err := p.ParseKV(body)
	switch {
	case a.Unidentified:
		err = fmt.Errorf("%w: status %d", errUnidentifiedCopy, a.Status)
	case a.Status != http.StatusOK:
		err = fmt.Errorf("gateway: copy of a run: status %d", a.Status)
	}
	return copyAnswer{a.Status, kv, err}
}

// errUnidentifiedCopy: an answer without a handle came over a kept connection. If it was not that
// to the call, the run may have been stopped.
var errUnidentifiedCopy = errors.New("gateway: copy of a run: an answer without a handle")

// relay relays an engine's stream, and those of the engines to which its run migrates. It returns
// the last engine and its answer.
//
// If a run that was stopped continues without any event, it may have been stopped after its last
// event, or the engine may have continued after events that the caller did not receive. The order of
// events doesn't tell which, so the answer is not taken for complete: where the route allows it, a new
// run is asked for the rest.
func (n *generation) relay(ctx context.Context, s *dispatch.Server, a *backend.Answer) (*dispatch.Server, *backend.Answer, error) {
	for continued := false; ; continued = true {
		err := n.stream.relay(a, s)
		if err == nil && continued && n.stream.fromEvents == 0 {
			err = errNoEvents
		}
		m := n.migrations.take()
		if m != nil && ctx.Err() != nil {
			n.g.wg.Go(func() {
				<-m.done
				n.abandonMigration(m, m.err)
			})
			return s, a, err
		}
		if m != nil {
			<-m.done
			n.migrations.stopped = n.migrations.stopped || m.maybeStopped || m.stopped
		}
		if err == nil && n.migrations.stopped && !a.Framed {
			err = errRunStopped // the stream of a stopped run ends like a complete one
		}
		if err == nil && !a.Framed {
			err = n.g.endedUnder(n.q, s)
		}
		if m == nil {
			return s, a, err
		}
		next := n.followMigration(ctx, m, err)
		if next == nil {
			return s, a, err
		}
		a.Close()
		n.migrations.stopped = false
		s, a = n.pair.Decode, next
	}
}

// followMigration continues a run that has migrated, or one that was stopped but could not migrate.
// It returns nil if the stream has ended, complete or not.
func (n *generation) followMigration(ctx context.Context, m *migration, streamErr error) *backend.Answer {
	var a *backend.Answer
	err := m.err
	if m.stopped && streamErr != nil && n.stream.canResume() && ctx.Err() == nil {
		a, err = n.continueRun(ctx, m)
	}
	if a == nil {
		n.abandonMigration(m, err)
		return nil
	}
	if n.decodeReserved == m.to.ID {
		n.noteMigration(m, "moved", nil)
		return a
	}
	n.noteMigration(m, "returned", err)
	n.g.fleet.releaseDecode(m.to.ID, m.work)
	return a
}

// abandonMigration ends a migration that did not take place.
func (n *generation) abandonMigration(m *migration, err error) {
	n.noteMigration(m, "stayed", err)
	n.g.fleet.releaseDecode(m.to.ID, m.work)
	n.freeCopy(m)
}

var errRunNotCopied = errors.New("gateway: the other engine has no capacity for the run")

// continueRun sends the request to the engine that has the copy, or, if that engine has not started
// on it, back to the one where the run was stopped.
func (n *generation) continueRun(ctx context.Context, m *migration) (*backend.Answer, error) {
	err, mayRun := errRunNotCopied, false
	var a *backend.Answer
	if m.copied && n.g.fleet.available(m.to.ID) && n.g.contents.blocked(n.q) == 0 && n.confirmed(ctx, &m.to) {
		if a, mayRun, err = n.resumeCopy(ctx, m, &m.to); a != nil {
			n.completeMigration(m)
			return a, nil
		}
	}
	if mayRun {
		return nil, err
	}
	a, _, err = n.resumeCopy(ctx, m, &m.from)
	return a, err
}

// resumeCopy sends the request with the handle of its copy to an engine. mayRun means that the
// engine may work on it.
func (n *generation) resumeCopy(ctx context.Context, m *migration, s *dispatch.Server) (a *backend.Answer, mayRun bool, err error) {
	h := &n.g.cfg.Protocol.Headers
	r := n.sendTo(s)
	r.Header.Set(h.KVSource, m.from.Address+"/"+m.kv.Handle)
	n.setLastEventID(r.Header)
	started := n.g.clock.Now()
	a, err = n.g.pool.Do(ctx, h, r)
	if err != nil {
		var be *backend.Error
		mayRun = !errors.As(err, &be) || be.Sent
		if mayRun && ctx.Err() == nil {
			n.g.checkAfterFailure(n.q, s, n.g.clock.Since(started))
		}
		return nil, mayRun, err
	}
	if res, ok := n.g.rejected(n.q, s, a); ok {
		n.g.fleet.noteHandover(dispatch.Handover{RefusedBy: []string{s.ID}})
		return nil, false, fmt.Errorf("gateway: resume of a copied run: status %d", res.status)
	}
	if !n.g.isStream(a) {
		a.Close()
		return nil, true, fmt.Errorf("gateway: resume of a copied run: status %d", a.Status)
	}
	return a, true, nil
}

// completeMigration moves the reservation of a run to its new engine.
func (n *generation) completeMigration(m *migration) {
	n.g.fleet.releaseDecode(m.from.ID, n.q.work)
	n.q.work, _ = n.g.fleet.growReservation(m.to.ID, m.work, n.q.service.Engine, n.q.work.Generated)
	n.decodeReserved, n.pair.Decode = m.to.ID, &m.to
	n.migrations.count++
}

// freeCopy frees an unused copy, at both engines.
func (n *generation) freeCopy(m *migration) {
	if m.kv.Handle == "" {
		return
	}
	n.freeInBackground(&m.from, n.g.cfg.Protocol.FreeKV(m.kv.Handle))
}

func (n *generation) noteMigration(m *migration, outcome string, err error) {
	metric.Migrations.WithLabelValues(n.q.service.Name, string(m.reason), outcome).Inc()
	event.RunMigrated.Log(n.g.log, "id", n.q.id, "reason", string(m.reason), "from", m.from.StableName(), "to", m.to.StableName(), "from_version", m.from.Version, "to_version", m.to.Version, "outcome", outcome,
		"stopped", m.stopped, "made", n.q.work.Generated, "last", n.stream.order.Last(), "engine_made", m.kv.Generated, "ms", n.g.clock.Since(m.started).Milliseconds(), "error", err)
}
