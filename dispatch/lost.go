package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ledgepin/ledgepin/internal/stablehash"
	"github.com/ledgepin/ledgepin/registry"
)

// The load that this addresses: two of 38 engines restart every 1.6 s and lose all their runs
// each time. A restarted engine is a new incarnation, to which no outcomes are attributed, and
// is the emptiest of all, so it was sent prompts again after each restart: 93 streams and
// 518,000 prompt tokens were lost in 34 s. Losses are therefore kept by the stable name of a
// server, across its incarnations.
//
// A lost answer costs its prompt and the time of its caller, an ejection costs capacity while
// requests wait. So an engine that loses one answer in twenty stays in use.
//
// Plain servers are not ejected because of losses. Theirs are counted, together with connections
// that could not be opened, for Trusted: one in seven requests of a kind there got a complete 500,
// which says nothing against a kept connection, so that failures of all kinds left hardly any server
// trusted.

// Constants of lost answers.
const (
	// minLosses is the number of lost answers, at any gateways, from which all gateways eject
	// an engine. The first loss ejects it only for the gateway that has it.
	minLosses = 2
	// minLostShare is the share of lost answers among all recent ones and the runs in progress
	// from which an engine is ejected. A lost answer costs about three times as much as waiting
	// for capacity elsewhere (see provenEjectShare).
	minLostShare = 0.3
	// mostlyLost is the share from which an engine loses more than it serves, so that ejecting
	// it again takes no capacity from the others.
	mostlyLost = 0.5
	// maxLossEjection bounds the time of an ejection, which doubles as long as probes fail.
	maxLossEjection = 8 * time.Second
	// relapseTime is the time after the last ejection within which a new one is longer. It
	// exceeds the longest ejection, so that an engine that fails each time it is used again is
	// recognised.
	relapseTime = 10 * time.Second
	// maxProbeTime bounds the time that a probe's run must last: most runs end within it.
	maxProbeTime = 2 * time.Second
	// probeInterval is the time after which twice as many gateways may send the probe, if none
	// has. It is about twice the age of what a gateway knows about the others.
	probeInterval = 200 * time.Millisecond
	// lossSettleTime is the time after a loss within which the reservations of other lost runs
	// end, which may show that the engine has lost all of them.
	lossSettleTime = time.Second
)

// lossPhase is where an engine that has lost answers is between its ejection and its return.
type lossPhase int

const (
	// inUse: the engine is used as any other.
	inUse lossPhase = iota
	// lossEjected: the engine gets nothing new.
	lossEjected
	// probing: the engine gets one request at a time.
	probing
)

// losses is what a gateway knows about the answers that a server has lost, in all its
// incarnations. It exists only for servers that have lost some recently. For a plain server, it
// includes the connections that could not be opened, and phase stays inUse.
type losses struct {
	name string
	// own counts the answers that this gateway has lost there, others those of the other
	// gateways.
	own    window
	others int
	// ownUntil is the end of the ejection for this gateway only.
	ownUntil time.Time
	// total is the known sum of losses, lastLoss when it rose.
	total    int
	lastLoss time.Time

	phase lossPhase
	// until is the end of the last ejection, duration its length, and backAt when the engine was
	// used as before again. share is the share of lost answers that led to the ejection.
	until    time.Time
	duration time.Duration
	backAt   time.Time
	share    float64
	// exempt is set while too many engines of the group lose answers to eject this one too.
	exempt bool
	// baseline is the work at the engine that is not that of a probe: what was there when it was
	// ejected and has not ended.
	baseline int
	// turnFrom is when gateways began to take turns for the next probe, probeAt when the current
	// probe was noticed, and failures is the smallest number of failed requests known since.
	turnFrom, probeAt time.Time
	failures          int
}

// LossChange is a change of the use of an engine that has lost answers, for the log.
type LossChange struct {
	// Server is the stable name.
	Server string
	// Ejected, Probed and Back tell what has happened: all gateways eject the engine, this
	// gateway sends it a probe, or it is used as before.
	Ejected, Probed, Back bool
	Losses                int
	For                   time.Duration
}

// maxLossChanges bounds the changes that are kept until they are logged.
const maxLossChanges = 256

func (f *Fleet) noteLossChange(c LossChange) {
	if len(f.lossChanges) < maxLossChanges {
		f.lossChanges = append(f.lossChanges, c)
	}
}

// TakeLossChanges returns the changes since the last call.
func (f *Fleet) TakeLossChanges() []LossChange {
	out := f.lossChanges
	f.lossChanges = nil
	return out
}

// CountLossEjected returns the number of engines that this gateway sends nothing, or only
// probes, because they have lost answers.
func (f *Fleet) CountLossEjected(now time.Time) int {
	n := 0
	for _, s := range f.servers {
		if s.losses != nil && !s.gone && s.losses.holdsBack(now) {
			n++
		}
	}
	return n
}

// noteLost records that a server lost the answer to a request of this gateway, or that no
// connection to a plain server could be opened. A server that leaves ends its connections on
// purpose.
func (f *Fleet) noteLost(now time.Time, s *Server) {
	if s.State == registry.Draining || !s.leavingSince.IsZero() || s.gone && !s.replaced {
		return
	}
	l := f.lossesOf(s)
	if l.own.buckets == nil {
		l.own = newWindow(evidenceBuckets, evidenceTime/evidenceBuckets)
	}
	_, own := l.own.sum(now)
	l.total = own + l.others
	l.own.at(now).b++
	answered := !l.until.IsZero() || !s.health.lastSuccess.IsZero() || s.OthersSeen.Good > 0
	if s.Role != "" && answered {
		l.ownUntil = now.Add(minEjection)
	}
	f.updateLosses(now, true)
}

// lossesOf returns the losses of a server, for all its incarnations.
func (f *Fleet) lossesOf(s *Server) *losses {
	if s.losses == nil {
		s.losses = f.lossesByName(s.StableName())
	}
	return s.losses
}

func (f *Fleet) lossesByName(name string) *losses {
	l := f.losses[name]
	if l == nil {
		l = &losses{name: name}
		f.losses[name] = l
		for _, o := range f.servers {
			if o.StableName() == name {
				o.losses = l
			}
		}
	}
	return l
}

// ownLost adds the answers that this gateway has lost to its evidence, by the newest incarnation
// of the server: a replica sends gateways nothing about the others.
func (f *Fleet) ownLost(now time.Time, out map[string]Evidence) {
	if len(f.losses) == 0 {
		return
	}
	for id, s := range f.servers {
		if s.losses == nil || s.replaced {
			continue
		}
		if _, lost := s.losses.own.sum(now); lost > 0 {
			e := out[id]
			e.Lost = lost
			out[id] = e
		}
	}
}

// setOthersLost takes over the losses of the other gateways.
func (f *Fleet) setOthersLost() {
	for _, l := range f.losses {
		l.others = 0
	}
	for id, e := range f.Others.Evidence {
		if s := f.servers[id]; s != nil && e.Lost > 0 {
			f.lossesOf(s).others += e.Lost
		}
	}
}

// updateLosses decides which engines are ejected, probed or used again because of the answers
// that they have lost. comparable reports whether a higher sum than before shows new losses: after
// a change of the control replica, the losses of its gateways come back one after the other.
func (f *Fleet) updateLosses(now time.Time, comparable bool) {
	if len(f.losses) == 0 {
		return
	}
	if f.groups == nil {
		f.regroup(now)
	}
	for _, s := range f.servers {
		if s.losses != nil && !s.replaced {
			f.updateLossesOf(now, s, comparable)
		}
	}
	for _, list := range f.groups {
		f.boundLossEjections(now, list)
	}
}

// updateLossesOf updates the losses of a server and advances the phase of an engine.
func (f *Fleet) updateLossesOf(now time.Time, s *Server, comparable bool) {
	l := s.losses
	_, own := l.own.sum(now)
	total := own + l.others
	rises := comparable && total > l.total
	l.total = total
	if rises {
		l.lastLoss = now
	}
	if s.Role == "" {
		return
	}
	if rises && l.phase == probing && (!l.probeAt.IsZero() || l.baseline == 0) { // not a run from before the ejection
		f.ejectForLosses(now, l)
	}
	// The reservations of lost runs end some time after their losses are known.
	if l.phase == inUse && l.lastLoss.After(l.backAt) && now.Sub(l.lastLoss) < lossSettleTime && total >= minLosses && f.lostShare(now, l) >= minLostShare {
		if l.until.IsZero() || now.Sub(l.until) >= relapseTime {
			l.duration = 0
		}
		f.ejectForLosses(now, l)
	}
	if l.phase == lossEjected && !now.Before(l.until) {
		l.phase, l.turnFrom = probing, l.until
	}
	f.watchProbe(now, s)
}

// ejectForLosses ejects an engine, for twice as long as the last time.
func (f *Fleet) ejectForLosses(now time.Time, l *losses) {
	l.duration = min(max(2*l.duration, minEjection), maxLossEjection)
	l.share = f.lostShare(now, l)
	l.phase, l.until, l.baseline, l.probeAt = lossEjected, now.Add(l.duration), math.MaxInt, time.Time{}
	f.noteLossChange(LossChange{Server: l.name, Ejected: true, Losses: l.total, For: l.duration})
}

// lostShare returns the share of lost answers among the recent ones of a server and its runs in
// progress, in all its incarnations. Runs in progress show that it has not lost everything.
func (f *Fleet) lostShare(now time.Time, l *losses) float64 {
	others := 0
	for _, s := range f.servers {
		if s.losses == l {
			own, _ := s.ownEvidence.outcomes.sum(now)
			others += own + s.OthersSeen.Good + s.Own.Runs + s.Others.Runs
		}
	}
	return float64(l.total) / float64(max(l.total+others, 1))
}

// activity returns a measure of the work at an engine.
func (s *Server) activity() int {
	l := s.Own.Add(s.Others)
	if s.Role == registry.Prefill {
		return l.Prefill
	}
	return l.Runs
}

// watchProbe follows the probe at an engine: by the reservations that gateways share, each sees
// when another one has sent it. The probe's run must last as long as the engine was ejected, or
// end well: an engine that goes down every 1.6 s produces first events after each restart.
func (f *Fleet) watchProbe(now time.Time, s *Server) {
	l, active := s.losses, s.activity()
	if l.phase == inUse {
		return
	}
	failures := s.ownEvidence.sum(now).Bad + s.OthersSeen.Bad
	switch {
	case l.phase == lossEjected || active <= l.baseline && l.probeAt.IsZero():
		l.baseline = min(l.baseline, active)
	case l.probeAt.IsZero():
		l.probeAt, l.failures = now, failures
	case active > l.baseline:
		l.failures = min(l.failures, failures) // earlier ones cease to count
		if now.Sub(l.probeAt) >= min(l.duration, maxProbeTime) {
			f.endLossEjection(now, l)
		}
	default: // the probe has ended
		lasted := now.Sub(l.probeAt)
		l.probeAt, l.turnFrom, l.baseline = time.Time{}, now, active
		if failures <= l.failures && (s.Role == registry.Prefill || lasted >= minEjection) {
			f.endLossEjection(now, l)
		}
	}
}

func (f *Fleet) endLossEjection(now time.Time, l *losses) {
	l.phase, l.backAt = inUse, now
	f.noteLossChange(LossChange{Server: l.name, Back: true, For: l.duration})
}

// any reports whether some gateway has lost an answer within evidenceTime. l may be nil.
func (l *losses) any(now time.Time) bool {
	if l == nil {
		return false
	}
	_, own := l.own.sum(now)
	return own+l.others > 0
}

// suspected reports whether an engine should not be used as before.
func (l *losses) suspected(now time.Time) bool { return l.phase != inUse || now.Before(l.ownUntil) }

// holdsBack reports whether an engine is not used as before.
func (l *losses) holdsBack(now time.Time) bool { return !l.exempt && l.suspected(now) }

// boundLossEjections exempts engines of a group from ejection if there are too many, those with
// the fewest losses first.
func (f *Fleet) boundLossEjections(now time.Time, list []*Server) {
	var lossy []*Server
	other := 0
	for _, s := range list {
		switch {
		case s.losses != nil && s.losses.suspected(now):
			lossy = append(lossy, s)
		case s.blocked(now):
			other++
		}
	}
	if len(lossy) == 0 {
		return
	}
	slices.SortFunc(lossy, func(a, b *Server) int {
		x, y := a.losses, b.losses
		return cmp.Or(cmp.Compare(min(y.phase, 1), min(x.phase, 1)), cmp.Compare(y.duration, x.duration), cmp.Compare(y.total, x.total), cmp.Compare(x.name, y.name))
	})
	most := int(maxEjectedIdle*float64(len(list))) - other
	if 2*len(lossy) > len(list) {
		most = 0 // the fault is elsewhere
	}
	busy := f.Others.Queued > 0
	mostBusy := max(int(maxEjectedBusy*float64(len(list))), 1)
	for i, s := range lossy {
		l := s.losses
		l.exempt = i >= most
		if busy {
			useless := l.phase != inUse && l.duration > minEjection && l.share >= mostlyLost
			l.exempt = l.exempt || !useless && (i >= mostBusy || l.phase == inUse)
		}
	}
}

// lossAllows reports whether this gateway may send an engine new work, as far as its lost
// answers are concerned: always if it has lost none, or a probe if it is this gateway's turn and
// no probe is under way.
func (f *Fleet) lossAllows(now time.Time, s *Server) bool {
	l := s.losses
	if l == nil || !l.holdsBack(now) {
		return true
	}
	if now.Before(l.ownUntil) || now.Before(l.until) {
		return false
	}
	if l.phase == lossEjected {
		l.phase, l.turnFrom, l.baseline = probing, l.until, min(l.baseline, s.activity())
	}
	return l.probeAt.IsZero() && s.activity() <= l.baseline && f.hasProbeTurn(now, s)
}

// hasProbeTurn reports whether this gateway may send the next probe to an engine. At first one
// gateway of all may on average, and twice as many after each interval.
func (f *Fleet) hasProbeTurn(now time.Time, s *Server) bool {
	doubled := math.Floor(float64(now.Sub(s.losses.turnFrom)) / float64(probeInterval))
	chance := math.Exp2(doubled) / float64(max(f.GatewaysPerServer(s.Service, s.Role), 1))
	interval := uint64(now.UnixNano() / int64(probeInterval))
	draw := stablehash.Pair(stablehash.Pair(f.gatewayKey, interval), stablehash.Name(s.losses.name))
	return chance >= 1 || float64(draw) < chance*math.MaxUint64
}

// noteProbe records that this gateway has sent a request to an engine that is probed.
func (f *Fleet) noteProbe(now time.Time, s *Server) {
	l := s.losses
	if l == nil || !l.holdsBack(now) || l.phase == inUse || now.Before(l.until) {
		return
	}
	l.phase, l.probeAt = probing, now
	l.failures = s.ownEvidence.sum(now).Bad + s.OthersSeen.Bad
	f.noteLossChange(LossChange{Server: l.name, Probed: true, For: l.duration})
}

// sweepLosses forgets losses that no longer have an effect.
func (f *Fleet) sweepLosses(now time.Time) {
	f.updateLosses(now, true)
	for name, l := range f.losses {
		if now.Sub(l.lastLoss) <= evidenceTime || now.Sub(l.until) <= maxLossEjection+relapseTime || l.others > 0 {
			continue
		}
		delete(f.losses, name)
		for _, s := range f.servers {
			if s.losses == l {
				s.losses = nil
			}
		}
	}
}
