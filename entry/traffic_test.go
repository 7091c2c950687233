package entry_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/agent"
	"github.com/ledgepin/ledgepin/entry"
	"github.com/ledgepin/ledgepin/settings"
)

// Bounds on payload bytes and messages in a zone with a relay, three entries and four agents,
// and settings with 300 customers.
const (
	// maxChangeBytes is the maximum traffic of an entry with four agents for a change of one
	// value: each agent may pull the delta once, and reports that it is in force.
	maxChangeBytes = 1000
	// maxIdleLinkBytes is the maximum traffic of an idle link in a second, in both
	// directions.
	maxIdleLinkBytes = 40
	// maxChangeMessages is the maximum number of messages of a change on a link: the
	// announcement, a pull, the delta, and the report that it is in force.
	maxChangeMessages = 6
	// maxIdleLinkMessages is the maximum number of messages on an idle link in a second.
	maxIdleLinkMessages = 2.0
)

func largeSettings(queue int, agents map[string]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "fleet:\n  queue_limit: %d\n  classes: {desk: {priority: 0, ttft: 1s, tbt: 1s}}\n  customers:\n", queue)
	for i := range 300 {
		fmt.Fprintf(&b, "    org%d: {tokens: [{sha256: %s, class: desk}]}\n", i, settings.HashToken(fmt.Sprint(i)))
	}
	b.WriteString("  sites:\n    s: {zone: z1, pools: {p: {role: decode, servers: {\n")
	for _, name := range slices.Sorted(maps.Keys(agents)) {
		fmt.Fprintf(&b, "      %s: {agent: %q},\n", name, agents[name])
	}
	b.WriteString("    }}}}\n")
	return b.String()
}

// TestChangeSendsDeltaNotWholeSettings changes single values of large settings and measures the
// traffic of the links. It guards against sending the whole settings again for a change, or
// a delta more than once to an agent.
func TestChangeSendsDeltaNotWholeSettings(t *testing.T) {
	t.Parallel()
	c, addr := startControl(t)
	addrs := map[string]string{}
	var agents []*agent.Agent
	for i := range 4 {
		name := fmt.Sprint("a", i)
		a := agent.Start(agent.Config{Name: name, Zone: "z1", Log: quiet})
		t.Cleanup(a.Close)
		agents = append(agents, a)
		addrs[name] = serve(t, a.Handler())
	}
	relay := startEntry(t, entry.Config{Name: "e0", Zone: "z1", Upstream: []string{addr}})
	entries := []*entry.Entry{relay}
	relayAddr := []string{serve(t, relay.Handler())}
	for i := range 3 {
		entries = append(entries, startEntry(t, entry.Config{Name: fmt.Sprint("e", i+1), Zone: "z1", Upstream: relayAddr}))
	}
	inForce := func(rev uint64) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			for _, e := range entries {
				if e.Revision() != rev || e.OpenLinks() != len(agents) {
					return poll.Continue("an entry has revision %d and %d links", e.Revision(), e.OpenLinks())
				}
			}
			for _, a := range agents {
				if a.Revision() != rev {
					return poll.Continue("an agent has revision %d", a.Revision())
				}
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	}
	traffic := func() (all, relayOnly, messages float64) {
		for i, e := range entries {
			tr := e.Traffic()
			all += float64(tr.Sent + tr.Received)
			messages += float64(tr.Messages)
			if i == 0 {
				relayOnly = float64(tr.Sent + tr.Received)
			}
		}
		return all, relayOnly, messages
	}
	links := float64(len(entries)*len(agents) + 2*len(entries) - 1) // links between entries count at both ends
	text := largeSettings(1, addrs)
	apply(t, c, 0, text)
	inForce(1)
	time.Sleep(time.Second) // for late pulls of the first settings

	const changes = 10
	before, relayBefore, messages := traffic()
	begin := time.Now()
	for i := range changes {
		apply(t, c, uint64(i+1), largeSettings(i+2, addrs))
		inForce(uint64(i + 2))
	}
	after, relayAfter, messagesAfter := traffic()
	took := time.Since(begin).Seconds()
	idleBytes := maxIdleLinkBytes * took * float64(len(agents)+len(entries))
	perLink := ((messagesAfter-messages)/links - maxIdleLinkMessages*took) / changes
	assert.Assert(t, perLink < maxChangeMessages, "%.1f messages per change and link", perLink)
	perEntry := ((after-before)/float64(len(entries)) - idleBytes) / changes
	perRelay := (relayAfter - relayBefore - idleBytes) / changes
	t.Logf("per change: %.0f B at an entry, %.0f B at the relay, %.1f messages per link; settings of %d B", perEntry, perRelay, perLink, len(text))
	assert.Assert(t, perEntry < maxChangeBytes, "%.0f B per change at an entry", perEntry)
	assert.Assert(t, perRelay < 2*maxChangeBytes, "%.0f B per change at the relay", perRelay)

	before, _, messages = traffic()
	begin = time.Now()
	time.Sleep(5 * time.Second)
	after, _, messagesAfter = traffic()
	took = time.Since(begin).Seconds()
	idleRate := (after - before) / took / links
	messageRate := (messagesAfter - messages) / took / links
	t.Logf("idle link: %.0f B and %.1f messages per second", idleRate, messageRate)
	assert.Assert(t, idleRate < maxIdleLinkBytes, "%.0f B per second and idle link", idleRate)
	assert.Assert(t, messageRate < maxIdleLinkMessages, "%.1f messages per second and idle link", messageRate)
}
