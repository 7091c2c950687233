package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// Versions of the engines' software. Engines of two versions generate different texts for the same
// request, so that an answer shows which versions it comes from.
const (
	firstVersion  = "v1"
	secondVersion = "v2"
)

var engineVersions = []string{firstVersion, secondVersion}

// versionContent returns the content that determines the texts of a version.
func versionContent(content, version string) string {
	if version == firstVersion {
		return content
	}
	return content + " at " + version
}

// versionText returns the function for the texts of the events of an engine.
func versionText(version string) func(content string, n int) string {
	return func(content string, n int) string { return eventText(versionContent(content, version), n) }
}

// Times of a replacement of all engines by ones of the next version.
const (
	// rollShare is the share of runs with one, rollInterval the mean time between two engines.
	rollShare    = 0.5
	rollInterval = 1200 * time.Millisecond
	// rollKillShare is the share of the engines that end without a report that they leave.
	rollKillShare = 0.3
)

// rollSteps draws when the engines are replaced, with a random source of its own.
func rollSteps(seed uint64, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 19))
	if r.Float64() >= rollShare {
		return nil
	}
	at := faultFreeStart + time.Duration(r.Float64()*float64(length-faultFreeEnd-faultFreeStart)/2)
	return []Step{{At: at, Kind: RollEngines, Seed: r.Uint64()}}
}

// rollEngines replaces all engines by ones of the next version, one after the other in a random
// order; the replacements overlap. Some engines end without a report.
func (f *faultInjector) rollEngines(ctx context.Context, step Step) {
	r := rand.New(rand.NewPCG(step.Seed, 19))
	shape := f.cluster.shape
	for _, n := range r.Perm(shape.Prefills + shape.Decodes) {
		s := Step{At: f.rec.now(), Kind: DrainServer, Target: n, For: time.Duration(r.Float64() * float64(time.Second))}
		if r.Float64() < rollKillShare {
			s.Kind = KillServer
		}
		f.wg.Go(func() {
			srv := f.cluster.servers[n]
			srv.mu.Lock()
			srv.nextVersion = secondVersion
			srv.mu.Unlock()
			f.runStep(ctx, s)
		})
		sleep(ctx, time.Duration(2*r.Float64()*float64(rollInterval)))
	}
	f.rec.countDisturbance("engines replaced by the next version")
}

// matchVersion returns the version whose text an event has; empty if it is of none.
func matchVersion(content string, n int, text string) string {
	i := slices.IndexFunc(engineVersions, func(v string) bool { return versionText(v)(content, n) == text })
	if i < 0 {
		return ""
	}
	return engineVersions[i]
}

// minReturns is the number of attempts with a last event ID from which on the share of them that
// is served is checked.
const minReturns = 12

// checkReturns checks that callers who return for the rest of a stream are served at least half as
// often as callers of new streams. Attempts at gateways that were disturbed don't count.
func checkReturns(h *History) []string {
	var returns, returnsServed, first, firstServed int
	for _, q := range h.Requests {
		if q.Kind != Desk || q.LeftAt > 0 && q.Status == 0 || h.disturbed(gatewayName(q.Gateway), q.Sent, undisturbedTime) {
			continue
		}
		served := 0
		if q.Status == http.StatusOK {
			served = 1
		}
		if q.LastID == "" {
			first, firstServed = first+1, firstServed+served
		} else {
			returns, returnsServed = returns+1, returnsServed+served
		}
	}
	if returns < minReturns || first == 0 || 2*float64(returnsServed)/float64(returns) >= float64(firstServed)/float64(first) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d returning callers were served, %d of %d new ones", returnsServed, returns, firstServed, first)}
}
