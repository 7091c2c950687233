package control_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/control"
	"github.com/ledgepin/ledgepin/fault"
)

// evacuate sends an order to the replicas until one of them accepts it.
func (c *cluster) evacuate(zone string, finished bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		var last error
		for _, n := range c.nodes {
			if n.proc == nil {
				continue
			}
			if last = n.proc.Evacuate(context.Background(), zone, finished); last == nil {
				return poll.Success()
			}
		}
		return poll.Continue("%v", last)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// expectEvacuated waits until every replica that answers returns exactly these zones, and
// at least one answers.
func (c *cluster) expectEvacuated(want ...string) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		answered := 0
		for _, n := range c.nodes {
			if n.proc == nil {
				continue
			}
			zones, err := n.proc.EvacuatedZones()
			if err != nil {
				continue
			}
			var got []string
			for _, z := range zones {
				got = append(got, z.Zone)
			}
			if fmt.Sprint(got) != fmt.Sprint(want) {
				return poll.Continue("%s returns %v, want %v", n.addr, got, want)
			}
			answered++
		}
		if answered == 0 {
			return poll.Continue("no replica answers")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// newEvacuationCluster starts three replicas in zone z with a table.
func newEvacuationCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, 3)
	c.put(1)
	return c
}

// TestEvacuationSurvivesRestartsAndDiskLoss sends orders in different sequences and
// repeatedly, then stops all replicas at once and empties the disk of one. Acknowledged
// orders must survive, also in a snapshot.
func TestEvacuationSurvivesRestartsAndDiskLoss(t *testing.T) {
	c := newEvacuationCluster(t)
	c.evacuate("z", true) // never started
	c.expectEvacuated()
	c.evacuate("z", false)
	c.evacuate("z", false)
	c.expectEvacuated("z")
	c.awaitVersion(compat.NewestStored)
	for _, n := range c.nodes {
		n.stop()
	}
	assert.NilError(t, os.RemoveAll(c.nodes[0].dir))
	assert.NilError(t, os.MkdirAll(c.nodes[0].dir, 0o700))
	c.nodes[0].bootstrap = false
	for _, n := range c.nodes {
		c.start(n)
	}
	c.expectEvacuated("z")
	for v := range uint64(30) { // enough for a snapshot
		c.put(v + 2)
	}
	for _, n := range c.nodes {
		n.stop()
		c.start(n)
	}
	c.expectEvacuated("z")
	c.evacuate("z", true)
	c.evacuate("z", true)
	c.expectEvacuated()
}

// TestEvacuationOfUnknownZoneIsRefused checks that every replica refuses an order for a
// zone that the deployment does not have, and that the order changes nothing.
func TestEvacuationOfUnknownZoneIsRefused(t *testing.T) {
	c := newEvacuationCluster(t)
	for _, n := range c.nodes {
		for _, zone := range []string{"nowhere", "", "Z", "z "} {
			for _, finished := range []bool{false, true} {
				err := n.proc.Evacuate(t.Context(), zone, finished)
				assert.Assert(t, fault.Is(err, fault.UnknownZone), "%q: %v", zone, err)
			}
		}
	}
	c.expectEvacuated()
	c.awaitVersion(compat.Base) // no order required a newer one
}

// TestEvacuationIsRefusedWithOlderReplica checks that an order has no effect while a
// replica runs a build that can't read it, and is accepted once that build is replaced.
func TestEvacuationIsRefusedWithOlderReplica(t *testing.T) {
	c := &cluster{t: t}
	for range 3 {
		c.prepare(true)
	}
	old := c.nodes[2]
	old.versions = compat.Range{Least: compat.Base, Most: compat.Evacuations - 1}
	for _, n := range c.nodes {
		c.seeds = append(c.seeds, n.addr)
	}
	for _, n := range c.nodes {
		c.start(n)
		t.Cleanup(n.stop)
	}
	c.put(1)
	leader, _ := c.leader()
	if leader == old { // its build has no such order
		old.stop()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if leader, _ = c.leader(); leader == old {
				return poll.Continue("the older replica still leads")
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second))
		c.start(old)
	}
	err := leader.proc.Evacuate(t.Context(), "z", false)
	assert.Assert(t, fault.Is(err, fault.NotReady), "%v", err)
	assert.ErrorContains(t, err, "unable")
	c.expectEvacuated()
	c.awaitVersion(compat.Base)
	old.stop()
	old.versions = compat.Range{}
	c.start(old)
	c.evacuate("z", false)
	c.expectEvacuated("z")
	c.awaitVersion(compat.NewestStored)
}

// TestCancelledEvacuationHasNoEffect checks that an order has no effect if its caller has
// cancelled it, since the caller may have sent the opposite order to another replica.
func TestCancelledEvacuationHasNoEffect(t *testing.T) {
	c := newEvacuationCluster(t)
	c.evacuate("z", false)
	c.evacuate("z", true)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	n, _ := c.leader()
	err := n.proc.Evacuate(cancelled, "z", false)
	assert.Assert(t, fault.Is(err, fault.ChangeOutcomeUnknown), "%v", err)
	c.expectEvacuated()
	assert.Equal(t, len(n.proc.Dump().(control.Dump).Evacuated), 0)
}
