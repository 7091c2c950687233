// Command spreadbench measures, with real links over loopback, how fast settings spread and what
// the idle links of a fleet cost: control with three replicas, and availability zones with a
// relay, entries and agents, all in one process. Its figures are used in docs/CAPACITY.md.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/ledgepin/ledgepin/agent"
	"github.com/ledgepin/ledgepin/control"
	"github.com/ledgepin/ledgepin/entry"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/settings"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// fleet holds the processes of the fleet.
type fleet struct {
	controls       []*control.Control
	entries        []*entry.Entry
	agents         []*agent.Agent
	agentAddresses map[string]string // by server
}

func main() {
	zones := flag.Int("zones", 1, "number of availability zones")
	entries := flag.Int("entries", 37, "entries in each zone, including the relay")
	agents := flag.Int("agents", 55, "agents in each zone")
	changes := flag.Int("changes", 20, "number of changes of the settings")
	idle := flag.Duration("rest", 10*time.Second, "time in which idle links are measured")
	flag.Parse()
	f := &fleet{agentAddresses: map[string]string{}}
	base := heapBytes()
	f.startControls()
	afterControl := heapBytes()
	for z := range *zones {
		for a := range *agents {
			f.startAgent(z, a)
		}
	}
	afterAgents := heapBytes()
	for z := range *zones {
		f.startZone(z, *entries)
	}
	text := f.settingsText(*zones, *agents, 0)
	f.changeSettings(0, text)
	f.waitForRevision(1)
	f.waitForLinks(*agents)
	links := *zones * *entries * *agents
	fmt.Printf("%d controls, %d entries, %d agents, %d links between entries and agents, tree of %d bytes\n",
		len(f.controls), len(f.entries), len(f.agents), links, len(text))
	fmt.Printf("heap: control %.0f KB each, agent without links %.0f KB each, all else %.1f KB per link (both ends)\n",
		kilobytes(afterControl-base)/3, kilobytes(afterAgents-afterControl)/float64(max(len(f.agents), 1)), kilobytes(heapBytes()-afterAgents)/float64(max(links, 1)))
	f.measureIdle(*idle)
	f.measureSpread(*changes, *zones, *agents)
	f.close()
}

func kilobytes(n float64) float64 { return n / 1000 }

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func listen(h http.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		log.Fatal(err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(ln) }()
	return ln.Addr().String()
}

// lateHandler is a handler that is set after its address is known.
type lateHandler struct{ h http.Handler }

// ServeHTTP implements http.Handler.
func (l *lateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.h == nil {
		http.Error(w, "not started", http.StatusServiceUnavailable)
		return
	}
	l.h.ServeHTTP(w, r)
}

var controlAddrs []string

func (f *fleet) startControls() {
	members := map[string]string{}
	handlers := []*lateHandler{}
	for i := range 3 {
		h := &lateHandler{}
		handlers = append(handlers, h)
		addr := listen(h)
		members[fmt.Sprint("c", i)] = addr
		controlAddrs = append(controlAddrs, addr)
	}
	for i := range 3 {
		dir, err := os.MkdirTemp("", "spreadbench")
		if err != nil {
			log.Fatal(err)
		}
		c, err := control.Start(control.Config{Name: fmt.Sprint("c", i), Zone: "z0", Members: members, Dir: dir, Log: discardLog})
		if err != nil {
			log.Fatal(err)
		}
		handlers[i].h = c.Handler()
		f.controls = append(f.controls, c)
	}
}

func (f *fleet) startAgent(zone, n int) {
	name := fmt.Sprintf("s-%d-%d", zone, n)
	a := agent.Start(agent.Config{Name: name, Zone: fmt.Sprint("z", zone), Log: discardLog})
	f.agents = append(f.agents, a)
	f.agentAddresses[name] = listen(a.Handler())
}

func (f *fleet) startZone(zone, n int) {
	relay := entry.Start(entry.Config{Name: fmt.Sprintf("e-%d-0", zone), Zone: fmt.Sprint("z", zone), Upstream: controlAddrs, Log: discardLog})
	f.entries = append(f.entries, relay)
	up := []string{listen(relay.Handler())}
	for i := 1; i < n; i++ {
		c := entry.Config{Name: fmt.Sprintf("e-%d-%d", zone, i), Zone: fmt.Sprint("z", zone), Upstream: up, Log: discardLog}
		f.entries = append(f.entries, entry.Start(c))
	}
}

// settingsText returns settings of the size for which ledgepin is designed: the started servers,
// 310 customers and 7 models.
func (f *fleet) settingsText(zones, agents, queue int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "fleet:\n  queue_limit: %d\n  classes:\n    desk: {priority: 0, ttft: 330ms, tbt: 75ms}\n  models:\n", 100+queue)
	for i := range 7 {
		fmt.Fprintf(&b, "    m%d: {version: \"1\", weights: 16GB, kv_per_token: 100KB}\n", i)
	}
	b.WriteString("  customers:\n")
	for i := range 310 {
		fmt.Fprintf(&b, "    org%d: {share: 2, tokens: [{sha256: %s, class: desk}]}\n", i, settings.HashToken(fmt.Sprint(i)))
	}
	b.WriteString("  sites:\n")
	for z := range zones {
		fmt.Fprintf(&b, "    site%d:\n      zone: z%d\n      pools:\n        pool:\n          role: decode\n          models: {m0: {}, m1: {}}\n          servers:\n", z, z)
		for a := range agents {
			name := fmt.Sprintf("s-%d-%d", z, a)
			fmt.Fprintf(&b, "            %s: {agent: %q}\n", name, f.agentAddresses[name])
		}
	}
	return []byte(b.String())
}

// changeSettings makes a change at the leader and returns the time at which it was accepted.
func (f *fleet) changeSettings(base uint64, text []byte) time.Time {
	for {
		for _, c := range f.controls {
			_, err := c.Change(context.Background(), control.Proposal{ID: fmt.Sprint("ch", base), Base: base, Text: text, Who: "bench"})
			if err == nil {
				return time.Now()
			}
			if !fault.Is(err, fault.NotLeader) {
				log.Fatal(err)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (f *fleet) waitForRevision(rev uint64) {
	for _, e := range f.entries {
		for e.Revision() < rev {
			time.Sleep(200 * time.Microsecond)
		}
	}
	for _, a := range f.agents {
		for a.Revision() < rev {
			time.Sleep(200 * time.Microsecond)
		}
	}
}

func (f *fleet) waitForLinks(agents int) {
	for _, e := range f.entries {
		for e.OpenLinks() < agents {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// traffic returns the payload bytes of all entries and those of the first zone's relay, sent and
// received.
func (f *fleet) traffic() (entries, relay float64) {
	for i, e := range f.entries {
		t := e.Traffic()
		entries += float64(t.Sent + t.Received)
		if i == 0 {
			relay = float64(t.Sent + t.Received)
		}
	}
	return entries, relay
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureIdle measures the cost of heartbeats and reports.
func (f *fleet) measureIdle(d time.Duration) {
	time.Sleep(2 * time.Second)
	bytes, relay := f.traffic()
	used := processorTime()
	time.Sleep(d)
	bytesAfter, relayAfter := f.traffic()
	nodes := float64(len(f.entries) + len(f.agents) + len(f.controls))
	cpuShare := (processorTime() - used).Seconds() / d.Seconds() / nodes
	fmt.Printf("idle: %.0f B/s of payload at an entry (relay %.0f B/s), both directions; %.3f%% of a core per node\n",
		(bytesAfter-bytes)/d.Seconds()/float64(len(f.entries)), (relayAfter-relay)/d.Seconds(), 100*cpuShare)
}

// measureSpread makes changes and measures the time until each is in force everywhere.
func (f *fleet) measureSpread(changes, zones, agents int) {
	var times []time.Duration
	before, relayBefore := f.traffic()
	disk := f.journalBytes()
	used := processorTime()
	begin := time.Now()
	for i := range changes {
		accepted := f.changeSettings(uint64(i+1), f.settingsText(zones, agents, i+1))
		f.waitForRevision(uint64(i + 2))
		times = append(times, time.Since(accepted))
	}
	slices.Sort(times)
	bytes, relay := f.traffic()
	nodes := float64(len(f.entries) + len(f.agents) + len(f.controls))
	fmt.Printf("spread of %d changes in %s: accepted to in force everywhere p50 %s, max %s\n",
		changes, time.Since(begin).Round(time.Millisecond), times[len(times)/2].Round(100*time.Microsecond), times[len(times)-1].Round(100*time.Microsecond))
	fmt.Printf("journal: %.0f B per change\n", float64(f.journalBytes()-disk)/float64(changes))
	fmt.Printf("per change: %.0f B at an entry, %.0f B at the relay, %.2f ms of processor time per node\n",
		(bytes-before)/float64(changes)/float64(len(f.entries)), (relay-relayBefore)/float64(changes), (processorTime()-used).Seconds()*1000/float64(changes)/nodes)
}

// journalBytes returns the length of a replica's log in bytes.
func (f *fleet) journalBytes() int64 { return f.controls[0].Dump().(control.Dump).Journal }

func (f *fleet) close() {
	for _, e := range f.entries {
		e.Close()
	}
	for _, a := range f.agents {
		a.Close()
	}
	for _, c := range f.controls {
		c.Close()
	}
}
