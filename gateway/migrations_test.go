package gateway

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/standin"
)

var (
	scenarioRuns = flag.Int("moves.runs", 2, "number of runs with random faults for each case of migrations")
	scenarioSeed = flag.Uint64("moves.seed", 1, "seed of the first run")
)

// lockedRand is a source of random numbers for several goroutines.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newLockedRand(seed uint64, name string) *lockedRand {
	salt := uint64(14695981039346656037)
	for _, c := range []byte(name) {
		salt = (salt ^ uint64(c)) * 1099511628211
	}
	return &lockedRand{r: rand.New(rand.NewPCG(seed, salt))}
}

func (lr *lockedRand) intN(n int) int {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	return lr.r.IntN(n)
}

// oneIn is true in one of n draws on average.
func (lr *lockedRand) oneIn(n int) bool { return lr.intN(n) == 0 }

// scenario is a set of requests whose runs migrate repeatedly, at engines with random behaviour.
type scenario struct {
	*harness
	*lockedRand
	log *testLog
	// target is the path of the requests. event returns the text of an event of the request with a
	// body.
	target    string
	event     func(body string, n int) string
	lastEvent int
	// maxTries is the maximum number of attempts of the caller, which resumes after the events it has.
	maxTries int
	// disconnects is set if the caller disconnects at times, and retries.
	disconnects bool
}

// migrationCase is a behaviour of engines under which runs migrate.
type migrationCase struct {
	name string
	// adjustManner changes what was drawn for an engine, drawFault draws a fault for a request at a
	// decode engine; either may be nil.
	adjustManner func(lr *lockedRand, m *standin.Behaviour)
	drawFault    func(lr *lockedRand) standin.Fault
	event        func(body string, n int) string
	disconnects  bool
	// callers is the number of concurrent requests; one if it is zero.
	callers int
}

// eventFormat returns a function that formats events, with the number of the event and the body of
// the request as operands.
func eventFormat(format string) func(body string, n int) string {
	return func(body string, n int) string { return fmt.Sprintf(format+"%.0[2]s", n, body) }
}

// scenarioEventCount is the number of events of a run that migrates.
const scenarioEventCount = 300

// newScenario starts a gateway in front of one prefill engine and three decode engines.
func newScenario(t *testing.T, c *migrationCase, seed uint64) *scenario {
	h, log := newLoggedHarness(t)
	sc := &scenario{harness: h, lockedRand: newLockedRand(seed, c.name), log: log, event: c.event, lastEvent: scenarioEventCount, maxTries: 4, disconnects: c.disconnects, target: "/desk/1"}
	if sc.event == nil {
		sc.event = eventFormat("id: %[1]d\ndata: event %[1]d of %[2]s\n\n")
	}
	if sc.oneIn(3) {
		sc.target, sc.maxTries = "/review/1", 1
	}
	sc.add("llm", "p1", "prefill")
	pace := time.Duration(300+sc.intN(1500)) * time.Microsecond
	for _, id := range []string{"d1", "d2", "d3"} {
		b := sc.add("llm", id, "decode")
		b.SetPace(0, pace, sc.lastEvent)
		b.SetBehaviour(sc.drawManner(c))
		if c.drawFault != nil {
			b.SetFault(func(r *http.Request) standin.Fault {
				if isPrefill(r) {
					return standin.NoFault
				}
				return c.drawFault(sc.lockedRand)
			})
		}
	}
	return sc
}

// drawManner draws the behaviour of an engine: correct, but as inconvenient as the contract allows.
func (sc *scenario) drawManner(c *migrationCase) standin.Behaviour {
	m := standin.Behaviour{Event: sc.event, Reset: sc.oneIn(2), CopyTime: time.Duration(sc.intN(4)) * time.Millisecond}
	switch sc.intN(3) {
	case 0:
		m.WriteSize = func(due int) int { return sc.intN(due + 1) } // also 0: it is sent later, together with the next part
	case 1:
		m.WriteSize = func(int) int { return 1 + sc.intN(3) }
	}
	if c.adjustManner != nil {
		c.adjustManner(sc.lockedRand, &m)
	}
	return m
}

// fillEngines makes the engines where the gateway has reserved the run look full, at random, until
// the context ends.
func (sc *scenario) fillEngines(ctx context.Context) {
	for ctx.Err() == nil {
		loads := map[string]dispatch.Load{}
		for _, s := range sc.gateway.fleet.list() {
			if s.Own.Runs > 0 && s.Role == registry.Decode && !sc.oneIn(3) {
				loads[s.ID] = dispatch.Load{Tokens: 99000, Held: 98000, Runs: 1}
			}
		}
		sc.gateway.fleet.setOthers(dispatch.OtherGateways{Gateways: 2, Known: 2, Loads: loads})
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(1+sc.intN(8)) * time.Millisecond):
		}
	}
}

// runCaller acts as a caller: it retries with the last event that it has while its answers are
// interrupted. It returns what was wrong with the answers.
func (sc *scenario) runCaller(ctx context.Context, body string) error {
	next := 1
	for attempt := 1; attempt <= sc.maxTries; attempt++ {
		fields := map[string]string{protocol.Headers.Tokens: "1000,500", protocol.Headers.LengthHint: "400"}
		if next > 1 {
			fields[protocol.Headers.LastEventID] = strconv.Itoa(next - 1)
		}
		got := sc.sendOnce(ctx, fmt.Sprint(body, "-", attempt), body, fields)
		if got.status != http.StatusOK {
			continue
		}
		var err error
		next, err = sc.checkEvents(body, next, got)
		if err != nil {
			return fmt.Errorf("%s, attempt %d: %w", body, attempt, err)
		}
		if !got.truncated {
			return nil
		}
	}
	return nil
}

// runCallers runs several callers concurrently.
func (sc *scenario) runCallers(ctx context.Context, callers int) error {
	errs := make([]error, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { errs[i] = sc.runCaller(ctx, fmt.Sprint("q", i+1)) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// sendOnce sends the request once, and disconnects early if callers of this scenario disconnect.
func (sc *scenario) sendOnce(ctx context.Context, id, body string, fields map[string]string) reply {
	if sc.disconnects {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(20+sc.intN(400))*time.Millisecond)
		defer cancel()
	}
	return sc.sendWith(ctx, "POST", sc.target, id, body, fields)
}

// checkEngines checks the requests that the engines received.
func (sc *scenario) checkEngines() error {
	begun := map[string]int{}
	for _, b := range sc.servers {
		for _, a := range b.Arrivals() {
			if a.Mixed {
				return fmt.Errorf("%s continued from the KV cache of another request", a.ID)
			}
			if a.Ran && !a.Continues && b.Role == registry.Decode {
				begun[a.Body]++
			}
		}
	}
	for body, n := range begun {
		if sc.maxTries == 1 && n > 1 {
			return fmt.Errorf("%s may not be repeated but was begun %d times", body, n)
		}
	}
	return nil
}

// trace returns what the engines received, and the log of the gateway.
func (sc *scenario) trace() string {
	var b strings.Builder
	for _, id := range []string{"p1", "d1", "d2", "d3"} {
		for _, a := range sc.servers[id].Arrivals() {
			h := a.Header
			fmt.Fprintf(&b, "%s %s %s last=%q source=%q ran=%v continues=%v\n", a.At.Format("05.0000"), id, a.ID,
				h.Get(protocol.Headers.LastEventID), h.Get(protocol.Headers.KVSource), a.Ran, a.Continues)
		}
	}
	sc.log.mu.Lock()
	defer sc.log.mu.Unlock()
	return b.String() + sc.log.text.String()
}

// migrations returns the number of migrations that took place.
func (sc *scenario) migrations() int { return strings.Count(sc.log.allText(), "outcome=moved") }

// completed returns the number of streams that were complete for the gateway.
func (sc *scenario) completed() int { return len(sc.log.linesOf(event.RequestDone)) }

// allText returns the whole log.
func (l *testLog) allText() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// runScenarios runs a case with several seeds, and checks that each caller gets its events
// complete, once and in order.
func runScenarios(t *testing.T, c *migrationCase) {
	t.Helper()
	var mu sync.Mutex
	runs, migrated, completed := 0, 0, 0
	t.Run(c.name, func(t *testing.T) {
		t.Cleanup(func() { t.Logf("%s: %d runs, %d migrations, %d complete answers", c.name, runs, migrated, completed) })
		for i := range *scenarioRuns {
			seed := *scenarioSeed + uint64(i)
			t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
				t.Parallel()
				sc := newScenario(t, c, seed)
				ctx, cancel := context.WithCancel(t.Context())
				stopped := make(chan struct{})
				go func() { defer close(stopped); sc.fillEngines(ctx) }()
				err := sc.runCallers(t.Context(), max(c.callers, 1))
				cancel()
				<-stopped
				err = errors.Join(err, sc.checkEngines())
				mu.Lock()
				runs, migrated, completed = runs+1, migrated+sc.migrations(), completed+sc.completed()
				mu.Unlock()
				if err != nil {
					t.Fatalf("-moves.seed=%d -moves.runs=1: %s, target %s: %v\n%s", seed, c.name, sc.target, err, sc.trace())
				}
			})
		}
	})
}

// faultOneIn returns a fault that occurs in one of several draws on average.
func faultOneIn(f standin.Fault, times int) func(lr *lockedRand) standin.Fault {
	return func(lr *lockedRand) standin.Fault {
		if lr.oneIn(times) {
			return f
		}
		return standin.NoFault
	}
}

// randomFault draws one of the faults that a migration may encounter.
func randomFault(lr *lockedRand) standin.Fault {
	switch lr.intN(12) {
	case 0:
		return standin.Refuse
	case 1:
		return standin.RefuseAfterKVFetch
	case 2:
		return standin.LoseAnswer
	case 3:
		return standin.CutStream
	}
	return standin.NoFault
}

// copyFateOneIn has a call for a copy fail in the given way in one of several draws on average.
func copyFateOneIn(f standin.CopyOutcome, times int) func(lr *lockedRand, m *standin.Behaviour) {
	return func(lr *lockedRand, m *standin.Behaviour) {
		m.CopyOutcome = func(string, bool) standin.CopyOutcome {
			if lr.oneIn(times) {
				return f
			}
			return standin.CopyAnswered
		}
	}
}

// lingeringRuns has runs continue after their connection has closed.
func lingeringRuns(lr *lockedRand, m *standin.Behaviour) {
	m.Linger = time.Duration(50+lr.intN(1450)) * time.Millisecond
	m.OldestFirst = lr.oneIn(2)
}

// randomManner draws from all that correct engines may do.
func randomManner(lr *lockedRand, m *standin.Behaviour) {
	if lr.oneIn(2) {
		lingeringRuns(lr, m)
	}
	m.CopyOutcome = func(string, bool) standin.CopyOutcome {
		switch lr.intN(20) {
		case 0:
			return standin.CopyAnswerLost
		case 1:
			return standin.CopyAnswerLate
		case 2:
			return standin.CopyDoneLate
		case 3:
			return standin.CopyThenCrash
		}
		return standin.CopyAnswered
	}
	m.Unframed = m.Reset && lr.oneIn(3) // without a reset, an end can't be distinguished from an interruption
}

// TestMigrationsKeepEventOrder checks that a caller gets each event once and in order, and no
// answer that looks complete but is not, however its run migrates between engines that keep the
// contract.
func TestMigrationsKeepEventOrder(t *testing.T) {
	for _, c := range []migrationCase{
		{name: "nothing goes wrong"},
		{name: "stopped by a reset", adjustManner: func(_ *lockedRand, m *standin.Behaviour) { m.Reset = true }},
		{name: "stopped by a close", adjustManner: func(_ *lockedRand, m *standin.Behaviour) { m.Reset = false }},
		{name: "unframed, stopped by a reset", adjustManner: func(_ *lockedRand, m *standin.Behaviour) { m.Unframed, m.Reset = true, true }},
		{name: "the engine ends after a copy", adjustManner: copyFateOneIn(standin.CopyThenCrash, 3)},
		{name: "answers to copies are lost", adjustManner: copyFateOneIn(standin.CopyAnswerLost, 3)},
		{name: "answers to copies are late", adjustManner: copyFateOneIn(standin.CopyAnswerLate, 3)},
		{name: "copies are done late", adjustManner: copyFateOneIn(standin.CopyDoneLate, 3)},
		{name: "the target refuses", drawFault: faultOneIn(standin.Refuse, 2)},
		{name: "the target refuses once it has taken the copy", drawFault: faultOneIn(standin.RefuseAfterKVFetch, 3)},
		{name: "the target begins and answers nothing", drawFault: faultOneIn(standin.LoseAnswer, 3)},
		{name: "streams break off within an event", drawFault: faultOneIn(standin.CutStream, 2)},
		{name: "two runs of a request at an engine", adjustManner: lingeringRuns, drawFault: faultOneIn(standin.CutStream, 2)},
		{name: "two runs, and answers lost", adjustManner: lingeringRuns, drawFault: randomFault},
		{name: "the caller leaves and comes back", adjustManner: lingeringRuns, disconnects: true},
		{name: "several callers", callers: 3, drawFault: randomFault, adjustManner: randomManner},
		{name: "a version first", event: eventFormat("ledgepin-weight-versions: 3\nid: %[1]d\ndata: %[1]d\n\n"), drawFault: faultOneIn(standin.CutStream, 2)},
		{name: "the ID after the text", event: eventFormat("data: %[1]d\nid:%[1]d\n\n"), drawFault: faultOneIn(standin.CutStream, 2)},
		{name: "all of it", adjustManner: randomManner, drawFault: randomFault},
		{name: "all of it, and the caller leaves and comes back", adjustManner: randomManner, drawFault: randomFault, disconnects: true},
	} {
		runScenarios(t, &c)
	}
}
