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
	// watchEvery is how often processes are asked what they have.
	watchEvery = 100 * time.Millisecond
	// tableMissing is what a gateway says that has no table.
	tableMissing = "no routing table"
)

// watch notes in which times gateways have no table and control has no leader, until the
// context ends.
func (s *site) watch(ctx context.Context) {
	var wg sync.WaitGroup
	for n := range s.front {
		wg.Go(func() { s.watchTable(ctx, n) })
		wg.Go(func() { s.watchHeld(ctx, n) })
	}
	wg.Go(func() { s.watchLeader(ctx) })
	wg.Wait()
}

// watchTable notes the times in which a gateway runs without a table. It may have had none
// since its start, or lose the one that it had.
func (s *site) watchTable(ctx context.Context, n int) {
	name := gatewayName(n)
	p := s.processes[name]
	since := func(t time.Time) time.Duration { return max(t.Sub(s.rec.start), 0) }
	var open *Gap
	end := func(at time.Duration) {
		if open != nil && at > open.From {
			open.To = at
			gap := *open
			s.rec.add(func(h *History) { h.NoTable = append(h.NoTable, gap) })
		}
		open = nil
	}
	start, had, last := 0, false, time.Duration(0)
	for ; ctx.Err() == nil; sleep(ctx, watchEvery) {
		number, started, runs := p.state()
		if number != start {
			end(since(started))
			start, had = number, false
			open = &Gap{Process: name, Incarnation: number, First: true, From: since(started)}
		}
		if !runs {
			end(s.rec.now())
			continue
		}
		at := s.rec.now()
		status, body, err := s.call(ctx, http.MethodGet, "http://"+s.ready[n]+"/-/ready", "")
		switch {
		case err != nil:
		case status == http.StatusOK:
			end(at)
			had, last = true, at
		case strings.Contains(body, tableMissing):
			if open == nil {
				open = &Gap{Process: name, Incarnation: number, First: !had, From: last}
			}
		default: // it is told to stop
			end(at)
		}
	}
	end(s.rec.now())
}

// watchLeader notes the times in which no replica of control leads with a live lease.
func (s *site) watchLeader(ctx context.Context) {
	last, missing := s.rec.now(), false
	for ; ctx.Err() == nil; sleep(ctx, watchEvery) {
		at := s.rec.now()
		if !s.led(ctx) {
			missing = true
			continue
		}
		if missing {
			s.rec.add(func(h *History) { h.NoLeader = append(h.NoLeader, Gap{From: last, To: at}) })
		}
		last, missing = at, false
	}
	if missing {
		s.rec.add(func(h *History) { h.NoLeader = append(h.NoLeader, Gap{From: last, To: s.rec.now()}) })
	}
}

// led tells whether any replica leads.
func (s *site) led(ctx context.Context) bool {
	leads := make([]bool, len(s.api))
	var wg sync.WaitGroup
	for n := range s.api {
		wg.Go(func() {
			c, ok := s.control(ctx, controlName(n))
			leads[n] = ok && c.Log.Lease
		})
	}
	wg.Wait()
	return slices.Contains(leads, true)
}

// controlState is what a replica of control says of itself.
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

// controlTimeout is how long a replica may take to say it; one that is paused doesn't.
const controlTimeout = 300 * time.Millisecond

// control asks a replica for its state.
func (s *site) control(ctx context.Context, name string) (controlState, bool) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	status, body, err := s.call(ctx, http.MethodGet, "http://"+s.processes[name].operators+"/v1/dump", "")
	var roles map[string]controlState
	if err != nil || status != http.StatusOK || json.Unmarshal([]byte(body), &roles) != nil {
		return controlState{}, false
	}
	for _, c := range roles {
		return c, true
	}
	return controlState{}, false
}

// awaitMember waits until a replica is a voter that has heard of a leader.
func (s *site) awaitMember(ctx context.Context, name string) {
	for end := time.Now().Add(memberTime); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, watchEvery) {
		if c, ok := s.control(ctx, name); ok && c.Log.Leader != "" && slices.Contains(c.Log.Members.Voters, c.ID) {
			return
		}
	}
}

// refusalMarks are the events and error codes by which processes tell of refused links.
var refusalMarks = []string{`"LP3003"`, `"LP3005"`, "bad_peer", "versions_apart"}

// refuses tells whether a line of a log tells of a refused link. That a peer has gone before
// its hello came is told by the same event, with the code of a lost link.
func refuses(line string) bool {
	return !strings.Contains(line, `"code":"link_lost"`) &&
		slices.ContainsFunc(refusalMarks, func(mark string) bool { return strings.Contains(line, mark) })
}

// countRefusals counts in all logs the lines that tell of refused links.
func (s *site) countRefusals() error {
	var all []Refusal
	for name, p := range s.processes {
		log, err := os.Open(p.logPath)
		if err != nil {
			return err
		}
		r := Refusal{Process: name}
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if refuses(lines.Text()) {
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
	s.rec.add(func(h *History) { h.Refusals = all })
	return nil
}
