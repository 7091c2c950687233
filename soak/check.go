package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/standin"
)

// Bounds of the rules. They allow for the delays of a shared machine.
const (
	// drainBound is how long a leaving server may receive new work after its report.
	drainBound = 2500 * time.Millisecond
	// disconnectBound is how long work may continue after its caller disconnected.
	disconnectBound = 1500 * time.Millisecond
	// inForceBound is the time by which a table must be in force at a connected gateway, counted
	// from the acknowledgement of the table.
	inForceBound = 2500 * time.Millisecond
	// undisturbedTime is how long a process must have been undisturbed for time bounds to apply
	// to it.
	undisturbedTime = 4 * time.Second
	// crossingTime is how long an engine's answer and the close of its connection may take to
	// arrive.
	crossingTime = 20 * time.Millisecond
	// maxOverlap is how long a run may continue at an engine after it has continued at the next
	// one.
	maxOverlap = 400 * time.Millisecond
	// budgetWindow, budgetRatio and budgetSlack are the retry budget in the settings of a run.
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	budgetSlack  = 50
)

// Violation is a broken rule.
type Violation struct {
	Rule   string
	Detail string
}

// String returns the rule and the detail as text.
func (v Violation) String() string { return v.Rule + ": " + v.Detail }

// Check returns the violations of all rules in a history.
func Check(h *History) []Violation {
	var out []Violation
	for _, c := range checks {
		for _, detail := range c.check(h) {
			out = append(out, Violation{c.rule, detail})
		}
	}
	return out
}

// checks are the rules with the functions that find violations.
var checks = []struct {
	rule  string
	check func(h *History) []string
}{
	{"whole and own answer", checkComplete},
	{"each event once and in order over all tries", checkEvents},
	{"a run goes on from its own memory", checkRunMemory},
	{"at most once", checkAtMostOnce},
	{"a run is at one engine at a time", checkOneEngine},
	{"not run is true", checkNotRun},
	{"nothing held for a caller gone", checkDisconnected},
	{"what is held for callers is bounded", checkHeldBytes},
	{"what servers send fills no gateway", checkResident},
	{"no cold server gets more than it bears", checkCold},
	{"no new work for a leaving server", checkDrain},
	{"no new work for an evacuated zone", checkEvacuations},
	{"a planned stop cuts no request", checkPlannedStop},
	{"tables are in force in time and never back", checkInForce},
	{"an acknowledged table is never lost", checkTables},
	{"no invalid table is taken", checkInvalid},
	{"the retry budget is kept", checkBudget},
	{"one holder of orders", checkOrders},
	{"keys and organisations are told apart", checkKeys},
	{"limits are kept", checkLimits},
	{"no server gets more than it names", checkServerLimits},
	{"a server that asks for a pause is left alone", checkPauses},
	{"no request for a server that says that it leaves", checkReportedLeaving},
	{"reports that can't be read are not used", checkBadReports},
	{"a content that ends servers is left alone", checkDeadly},
	{"a part of prompts that ends servers is left alone", checkPoisonParts},
	{"links between builds are not refused", checkRefusals},
	{"each gateway in touch has a table all the time", checkTableAvailable},
	{"there is a leader", checkLeader},
	{"urgent requests are served no worse, and others too", checkUrgency},
	{"streams that may be resumed are", checkResumed},
	{"callers who return for a stream are served", checkReturns},
	{"retry times are in bounds and differ", checkRetryTimes},
	{"no process ends by itself", checkUnexpectedExits},
}

func checkComplete(h *History) []string {
	var out []string
	for _, q := range h.Requests {
		if q.Status != http.StatusOK || q.LeftAt > 0 || q.Kind == Desk { // for Desk see checkEvents
			continue
		}
		stream, complete := q.Kind.isStream(), ""
		if stream {
			complete = streamAfter(q.Content, 0)
			if second := streamAfter(versionContent(q.Content, secondVersion), 0); strings.HasPrefix(second, q.Body) {
				complete = second
			}
		}
		switch {
		case stream && !strings.HasPrefix(complete, q.Body):
			out = append(out, fmt.Sprintf("%s received other events: %.80q", q.ID, q.Body))
		case stream && !q.Cut && q.Body != complete:
			out = append(out, fmt.Sprintf("%s received %d bytes of %d that look complete", q.ID, len(q.Body), len(complete)))
		case !stream && !q.Cut && !strings.HasPrefix(q.Body, "answer to "+q.ID+" by "):
			out = append(out, fmt.Sprintf("%s received %.80q", q.ID, q.Body))
		case !stream && !q.Cut && len(q.Body) < standin.LargeAnswerBytes(q.Content):
			out = append(out, fmt.Sprintf("%s received %d bytes of %d that look complete", q.ID, len(q.Body), standin.LargeAnswerBytes(q.Content)))
		}
	}
	return out
}

// countRuns returns how often each request was run. A run that continues at another engine counts
// once.
func countRuns(h *History) map[string]int {
	out := map[string]int{}
	for _, a := range h.Arrivals {
		if a.Ran && !a.Continues {
			out[a.ID]++
		}
	}
	return out
}

func checkAtMostOnce(h *History) []string {
	var out []string
	n := countRuns(h)
	for _, q := range h.Requests {
		if q.Kind.runsOnce() && n[q.ID] > 1 {
			out = append(out, fmt.Sprintf("%s (%s) ran %d times", q.ID, q.Kind, n[q.ID]))
		}
	}
	return out
}

// checkOneEngine checks that a run that continued at another engine stopped at the first one.
func checkOneEngine(h *History) []string {
	var out []string
	for _, next := range h.Arrivals {
		if !next.Continues {
			continue
		}
		for _, a := range h.Arrivals {
			if a.ID != next.ID || !a.Ran || a.At >= next.At {
				continue
			}
			if a.Ended == 0 || a.Ended > next.At+maxOverlap {
				out = append(out, fmt.Sprintf("%s continued at %s at %v, %s worked until %v", a.ID, next.Server, next.At, a.Server, a.Ended))
			}
		}
	}
	return out
}

// notRunStatuses are the statuses that promise that a request did not run.
var notRunStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

func checkNotRun(h *History) []string {
	var out []string
	n := countRuns(h)
	for _, q := range h.Requests {
		if slices.Contains(notRunStatuses, q.Status) && n[q.ID] > 0 {
			out = append(out, fmt.Sprintf("%s (%s) was answered with status %d but ran", q.ID, q.Kind, q.Status))
		}
	}
	return out
}

func checkDisconnected(h *History) []string {
	var out []string
	disconnected := map[string]Request{}
	for _, q := range h.Requests {
		if q.LeftAt > 0 {
			disconnected[q.ID] = q
		}
	}
	for _, a := range h.Arrivals {
		q, ok := disconnected[a.ID]
		if !ok || !a.Ran || h.disturbed(gatewayName(q.Gateway), q.LeftAt, undisturbedTime) || h.disturbed(a.Server, q.LeftAt, undisturbedTime) {
			continue
		}
		if a.Ended == 0 || a.Ended > q.LeftAt+disconnectBound {
			out = append(out, fmt.Sprintf("%s: the caller disconnected at %v, %s worked until %v", q.ID, q.LeftAt, a.Server, a.Ended))
		}
	}
	for _, kv := range h.HeldKV {
		if q, ok := disconnected[kv.Request]; ok && crossesDisconnect(q.LeftAt, kv.MadeAt) {
			continue
		}
		out = append(out, fmt.Sprintf("the KV cache of %s, created at %v, is held after the end", kv.Request, kv.MadeAt))
	}
	if h.HeldRoom > 0 {
		out = append(out, fmt.Sprintf("%d holds remain after the end", h.HeldRoom))
	}
	return out
}

// crossesDisconnect reports whether a KV cache was created just as its caller disconnected. The
// gateway closes the connection before it has read the name of the KV cache, which it needs to free
// it, and the engine may have created it already. Such a KV cache expires by itself.
func crossesDisconnect(disconnected, created time.Duration) bool {
	return created-disconnected < crossingTime && disconnected-created < crossingTime
}

// disturbed reports whether a process, a server or its link was disturbed in the time before a
// moment, or will be shortly after it.
func (h *History) disturbed(process string, at, before time.Duration) bool {
	for _, o := range h.Outages {
		if o.Process == process && o.From <= at+disconnectBound && at-before <= o.To {
			return true
		}
	}
	return false
}

func checkDrain(h *History) []string {
	var out []string
	for _, d := range h.Drains {
		for _, a := range h.Arrivals {
			if a.Server != d.Server || a.ID == "" || a.At <= d.At+drainBound {
				continue
			}
			if g := h.gatewayOf(a.ID); g != "" && h.disturbed(g, a.At, undisturbedTime) {
				continue
			}
			out = append(out, fmt.Sprintf("%s reached %s %v after its report", a.ID, d.Server, a.At-d.At))
		}
	}
	return out
}

func (h *History) gatewayOf(id string) string {
	for _, q := range h.Requests {
		if q.ID == id {
			return gatewayName(q.Gateway)
		}
	}
	return ""
}

// checkBudget counts, for each service and window, the arrivals beyond the first one of each
// request.
func checkBudget(h *History) []string {
	first := map[string]map[string]bool{}
	extra := map[string][]time.Duration{}
	requests := map[string][]time.Duration{}
	arrivals := slices.Clone(h.Arrivals)
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	for _, a := range arrivals {
		if a.ID == "" || a.Continues {
			continue
		}
		// The first prefill of a prompt is not a run; each further one counts.
		key := a.ID + "/" + a.Header.Get(headers.Role)
		if first[a.Service] == nil {
			first[a.Service] = map[string]bool{}
		}
		if first[a.Service][key] {
			extra[a.Service] = append(extra[a.Service], a.At)
		}
		first[a.Service][key] = true
	}
	for _, q := range h.Requests {
		s := serviceOf(q.Kind)
		requests[s] = append(requests[s], q.Sent)
	}
	var out []string
	for service, list := range extra {
		for i, from := range list {
			n := countWithin(list[i:], from, from+budgetWindow)
			callerRequests := max(countWithin(requests[service], from, from+budgetWindow), countWithin(requests[service], from-budgetWindow, from))
			if allowed := budgetRatio*float64(callerRequests) + budgetSlack; float64(n) > allowed {
				out = append(out, fmt.Sprintf("%s received %d further arrivals from %v on, %.0f are allowed", service, n, from, allowed))
				break
			}
		}
	}
	return out
}

func countWithin(list []time.Duration, from, to time.Duration) int {
	n := 0
	for _, t := range list {
		if t >= from && t < to {
			n++
		}
	}
	return n
}

// checkOrders checks that each fence has one holder, and that no engine receives a lower fence
// after a higher one.
func checkOrders(h *History) []string {
	var out []string
	holders := map[uint64]string{}
	highest := map[string]uint64{}
	orders := slices.Clone(h.Orders)
	sort.Slice(orders, func(i, j int) bool { return orders[i].At < orders[j].At })
	for _, o := range orders {
		if other, ok := holders[o.Fence]; ok && other != o.Holder {
			out = append(out, fmt.Sprintf("fence %d is used by %s and %s", o.Fence, other, o.Holder))
		}
		holders[o.Fence] = o.Holder
		if o.Fence < highest[o.Server] {
			out = append(out, fmt.Sprintf("%s received fence %d after %d", o.Server, o.Fence, highest[o.Server]))
		}
		highest[o.Server] = max(highest[o.Server], o.Fence)
	}
	return out
}

func checkUnexpectedExits(h *History) []string { return h.Exits }
