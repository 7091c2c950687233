package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// pollInterval is the time between two polls of a process's state.
	pollInterval = 100 * time.Millisecond
	// noTableReason is a gateway's answer while it has no table.
	noTableReason = "no routing table"
)

// watchAll records the times in which gateways have no table and control has no leader, until the
// context ends.
func (cl *cluster) watchAll(ctx context.Context) {
	var wg sync.WaitGroup
	for n := range cl.callerAddresses {
		wg.Go(func() { cl.watchTable(ctx, n) })
		wg.Go(func() { cl.watchHeld(ctx, n) })
		wg.Go(func() { cl.watchResident(ctx, n) })
	}
	wg.Go(func() { cl.watchLeader(ctx) })
	wg.Wait()
}

// watchTable records the times in which a gateway runs without a table, either since its start or
// because it lost its table.
func (cl *cluster) watchTable(ctx context.Context, n int) {
	name := gatewayName(n)
	p := cl.processes[name]
	since := func(t time.Time) time.Duration { return max(t.Sub(cl.rec.start), 0) }
	var gap *Gap
	end := func(at time.Duration) {
		if gap != nil && at > gap.From {
			gap.To = at
			closed := *gap
			cl.rec.update(func(h *History) { h.NoTable = append(h.NoTable, closed) })
		}
		gap = nil
	}
	start, hadTable, last := 0, false, time.Duration(0)
	for ; ctx.Err() == nil; sleep(ctx, pollInterval) {
		number, started, runs := p.state()
		if number != start {
			end(since(started))
			start, hadTable = number, false
			gap = &Gap{Process: name, Incarnation: number, First: true, From: since(started)}
		}
		if !runs {
			end(cl.rec.now())
			continue
		}
		at := cl.rec.now()
		status, body, err := cl.call(ctx, http.MethodGet, "http://"+cl.readinessAddresses[n]+"/-/ready", "")
		switch {
		case err != nil:
		case status == http.StatusOK:
			end(at)
			hadTable, last = true, at
		case strings.Contains(body, noTableReason):
			if gap == nil {
				gap = &Gap{Process: name, Incarnation: number, First: !hadTable, From: last}
			}
		default: // the gateway is shutting down
			end(at)
		}
	}
	end(cl.rec.now())
}

// watchLeader records the times in which no replica of control leads with a valid lease.
func (cl *cluster) watchLeader(ctx context.Context) {
	last, missing := cl.rec.now(), false
	for ; ctx.Err() == nil; sleep(ctx, pollInterval) {
		at := cl.rec.now()
		if !cl.hasLeader(ctx) {
			missing = true
			continue
		}
		if missing {
			cl.rec.update(func(h *History) { h.NoLeader = append(h.NoLeader, Gap{From: last, To: at}) })
		}
		last, missing = at, false
	}
	if missing {
		cl.rec.update(func(h *History) { h.NoLeader = append(h.NoLeader, Gap{From: last, To: cl.rec.now()}) })
	}
}

// hasLeader reports whether any replica leads.
func (cl *cluster) hasLeader(ctx context.Context) bool {
	leads := make([]bool, len(cl.apiAddresses))
	var wg sync.WaitGroup
	for n := range cl.apiAddresses {
		wg.Go(func() {
			c, ok := cl.dumpControl(ctx, controlName(n))
			leads[n] = ok && c.Log.Lease
		})
	}
	wg.Wait()
	return slices.Contains(leads, true)
}

// controlState is the state that a replica of control reports.
type controlState struct {
	ID  string `json:"id"`
	Log struct {
		Leader  string `json:"leader"`
		Lease   bool   `json:"lease"`
		Members struct {
			Voters []string `json:"voters"`
		} `json:"members"`
	} `json:"log"`
}

// dumpTimeout is how long a process may take to report its state; a paused one does not answer.
const dumpTimeout = 300 * time.Millisecond

// dumpControl requests the state of a replica.
func (cl *cluster) dumpControl(ctx context.Context, name string) (controlState, bool) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	status, body, err := cl.call(ctx, http.MethodGet, "http://"+cl.processes[name].operators+"/v1/dump", "")
	var roles map[string]controlState
	if err != nil || status != http.StatusOK || json.Unmarshal([]byte(body), &roles) != nil {
		return controlState{}, false
	}
	for _, c := range roles {
		return c, true
	}
	return controlState{}, false
}

// awaitMember waits until a replica is a voter with a known leader.
func (cl *cluster) awaitMember(ctx context.Context, name string) {
	for end := time.Now().Add(memberTimeout); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, pollInterval) {
		if c, ok := cl.dumpControl(ctx, name); ok && c.Log.Leader != "" && slices.Contains(c.Log.Members.Voters, c.ID) {
			return
		}
	}
}

// refusalMarks are the events and error codes in log lines about refused links.
var refusalMarks = []string{`"LP3003"`, `"LP3005"`, "bad_peer", "versions_apart"}

// reportsRefusal reports whether a log line is about a refused link. A peer that closed the link
// before its hello is logged under the same event, with the code of a lost link.
func reportsRefusal(line string) bool {
	return !strings.Contains(line, `"code":"link_lost"`) &&
		slices.ContainsFunc(refusalMarks, func(mark string) bool { return strings.Contains(line, mark) })
}

// countRefusals counts the log lines about refused links in all logs.
func (cl *cluster) countRefusals() error {
	var all []Refusal
	for name, p := range cl.processes {
		log, err := os.Open(p.logPath)
		if err != nil {
			return err
		}
		r := Refusal{Process: name}
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if reportsRefusal(lines.Text()) {
				if r.Count++; r.Count == 1 {
					r.First = lines.Text()
				}
			}
		}
		_ = log.Close()
		if err := lines.Err(); err != nil {
			return err
		}
		if r.Count > 0 {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b Refusal) int { return strings.Compare(a.Process, b.Process) })
	cl.rec.update(func(h *History) { h.Refusals = all })
	return nil
}
