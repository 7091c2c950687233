package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestShortRun performs a short run with real processes: a graceful stop, a kill of all replicas of
// control during a change of the table, an invalid table, a server that leaves while a link is
// reset, and kills of a server and a gateway. Calls and streams of engines are disturbed while
// callers reconnect. Two engines go down and up by turns in a burst of requests of different urgency.
func TestShortRun(t *testing.T) {
	plan := []Step{
		{Kind: UrgencyBurst, For: 4 * second}, // begins before other requests have filled the engines
		{At: 1 * second, Kind: StopGateway, Target: 0},
		{At: 1 * second, Kind: DisturbCalls, Target: 2, For: 3 * second},
		{At: 1 * second, Kind: DisturbCalls, Target: 4, For: 5 * second},
		{At: 1500 * time.Millisecond, Kind: ChangeTable},
		{At: 2 * second, Kind: KillAllControl, Target: 0, For: second},
		{At: 2200 * time.Millisecond, Kind: ChangeTable},
		{At: 3 * second, Kind: DrainServer, Target: 8},
		{At: 3500 * time.Millisecond, Kind: ResetLink, Target: 4},
		{At: 4 * second, Kind: InvalidTable},
		{At: 4 * second, Kind: BreakStreams, Target: 2, For: 2 * second},
		{At: 4500 * time.Millisecond, Kind: BreakStreams, Target: 5, For: 2 * second},
		{At: 5 * second, Kind: KillServer, Target: 3, For: second},
		{At: 6 * second, Kind: KillGateway, Target: 1, For: second},
		{At: 7 * second, Kind: FlapEngines, Target: 4, For: 3 * second},
	}
	h, broken, dir := runShort(t, Options{Length: 13 * time.Second, Plan: plan, PlainTexts: true})
	s := Summarize(h)
	assert.Assert(t, s.Troubles["flapped"] == 1 && s.Pairs >= minPairs, s.String())
	assert.Assert(t, s.Served > 100 && s.Tables == 4 && s.Drains == 1 && s.Reconnects > 5 && s.Migrations > 5, s.String())

	t.Log(s)
	report := filepath.Join(dir, "report.html")
	assert.NilError(t, WriteReport(report, h, broken))
	page, err := os.ReadFile(report)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(page), "<img"), 3)
}

// TestServersThatReportLimits checks a run in which all plain servers and an engine report limits
// in all patterns, while a gateway and a replica of control are killed and the table changes.
func TestServersThatReportLimits(t *testing.T) {
	plan := []Step{
		{At: 5 * second, Kind: KillGateway, Target: 1, For: second},
		{At: 6 * second, Kind: KillControl, Target: 0, For: second},
		{At: 7 * second, Kind: ChangeTable},
	}
	for i := range DefaultShape.Apps {
		for _, at := range []time.Duration{second, 8 * second} {
			plan = append(plan, Step{At: at, For: 6 * second, Kind: ReportLimit, Target: 6 + i, Seed: uint64(i) + uint64(at)})
		}
	}
	plan = append(plan, Step{At: 2 * second, For: 8 * second, Kind: ReportLimit, Target: 3, Seed: 5})
	slices.SortFunc(plan, func(a, b Step) int { return int(a.At - b.At) })
	h, _, _ := runShort(t, Options{Length: 15 * time.Second, Plan: plan, PlainTexts: true})
	assert.Assert(t, len(h.Limited) > 20 && len(h.Limits) > 0, "%d arrivals, %d limits", len(h.Limited), len(h.Limits))
	assert.Equal(t, h.Troubles["named limit"], 7)
}

// TestServersThatRequestPausesOrLeave checks a run in which all plain servers and some engines
// request pauses in all patterns and report that they leave, while a gateway and a replica of
// control are killed.
func TestServersThatRequestPausesOrLeave(t *testing.T) {
	plan := []Step{
		{At: 5 * second, Kind: KillGateway, Target: 1, For: second},
		{At: 6 * second, Kind: KillControl, Target: 0, For: second},
		{At: 7 * second, Kind: ReportLeaving, Target: 7, For: drainBound + 2*second, Seed: 1},
		{At: 2 * second, Kind: ReportLeaving, Target: 3, For: drainBound + 2*second, Seed: 2},
	}
	for i := range DefaultShape.Apps {
		plan = append(plan, Step{At: second, For: 5 * second, Kind: RequestPauses, Target: 6 + i, Seed: uint64(i)})
	}
	for i, target := range []int{0, 2, 4} {
		plan = append(plan, Step{At: 3 * second, For: 4 * second, Kind: RequestPauses, Target: target, Seed: uint64(10 + i)})
	}
	slices.SortStableFunc(plan, func(a, b Step) int { return int(a.At - b.At) })
	h, _, _ := runShort(t, Options{Length: 15 * time.Second, Plan: plan, PlainTexts: true})
	paused, leaving := 0, 0
	for _, a := range h.Asked {
		if a.Pause > 0 {
			paused++
		}
		if a.Leaving {
			leaving++
		}
	}
	assert.Assert(t, paused > 10 && leaving > 0, "%d pauses, %d answers of servers that leave", paused, leaving)
	assert.Equal(t, h.Troubles["asked for pauses"]+h.Troubles["said that it leaves"], 8)
}

// treeAsProduction selects the tree's own binary as the production build.
const treeAsProduction = "the tree's own"

// runShort performs a short run with a fixed plan and fails the test if a rule is broken.
func runShort(t *testing.T, o Options) (h *History, broken []Violation, dir string) {
	t.Helper()
	o.Dir, o.Seed, o.Shape = t.TempDir(), 1, DefaultShape
	o.Binary = filepath.Join(o.Dir, "ledgepin")
	out, err := exec.Command("go", "build", "-o", o.Binary, "../cmd/ledgepin").CombinedOutput()
	assert.NilError(t, err, string(out))
	if o.Production == treeAsProduction {
		o.Production = o.Binary
	}
	h, err = Run(t.Context(), o)
	assert.NilError(t, err)
	broken = Check(h)
	if len(broken) > 0 {
		logs, _ := filepath.Glob(filepath.Join(o.Dir, "*.log"))
		for _, log := range logs {
			data, _ := os.ReadFile(log)
			t.Logf("%s:\n%s", filepath.Base(log), data)
		}
	}
	for _, v := range broken {
		t.Error(v)
	}
	return h, broken, o.Dir
}

// stepsAtAllEngines returns steps of some kinds at all engines of a short run.
func stepsAtAllEngines(kinds ...Kind) []Step {
	var out []Step
	for n := range DefaultShape.Prefills + DefaultShape.Decodes {
		for _, k := range kinds {
			out = append(out, Step{At: second, Kind: k, Target: n, For: 5 * second})
		}
	}
	return out
}

// TestTextsLikeEventFieldsResumeAtTheRightEvent guards against texts that are mistaken for event
// fields: streams must resume after the right event.
func TestTextsLikeEventFieldsResumeAtTheRightEvent(t *testing.T) {
	runShort(t, Options{Length: 8 * time.Second, Plan: stepsAtAllEngines(BreakStreams)})
}

// TestStreamClosedEarlyIsNotComplete guards against a stream that ends as complete although its
// engine closed it in the middle of an event, where the end of the connection ends the answer.
func TestStreamClosedEarlyIsNotComplete(t *testing.T) {
	runShort(t, Options{Length: 8 * time.Second, Plan: stepsAtAllEngines(CloseStreams), PlainTexts: true})
}

// TestDuplicateAnswerReachesNoOtherRequest guards against an answer that a server sends again and
// that is then taken for the answer to the next request.
func TestDuplicateAnswerReachesNoOtherRequest(t *testing.T) {
	plan := append(stepsAtAllEngines(DuplicateAnswers), Step{At: second, Kind: Burst, For: 5 * second})
	runShort(t, Options{Length: 8 * time.Second, Plan: plan, PlainTexts: true})
}
