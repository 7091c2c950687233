package control_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/registry"
)

// serverStates returns the states of the servers that a replica lists.
func serverStates(n *node) map[string]registry.State {
	out := map[string]registry.State{}
	for _, s := range n.proc.Servers() {
		out[s.ID] = s.State
	}
	return out
}

func server(id string, state registry.State, sequence uint64) registry.Server {
	return registry.Server{ID: id, Service: "llm", Address: id + ":1", Zone: "z", Role: registry.Decode, State: state, Sequence: sequence}
}

// TestServersSurviveRestart checks that a replica starts with the servers that it listed
// before, and with leaving servers as leaving.
func TestServersSurviveRestart(t *testing.T) {
	c := newCluster(t, 3)
	n := c.nodes[0]
	file := filepath.Join(n.dir, "control.servers")
	for i := range 3 {
		n.proc.Report(server(fmt.Sprint("s", i), registry.Ready, 1))
	}
	n.proc.Report(server("s1", registry.Draining, 2))
	want := map[string]registry.State{"s0": registry.Ready, "s1": registry.Draining, "s2": registry.Ready}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		data, err := os.ReadFile(file)
		if err != nil || !bytes.Contains(data, []byte(registry.Draining)) {
			return poll.Continue("not saved: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	n.stop()
	c.start(n)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(serverStates(n)) == 0 {
			return poll.Continue("not read yet")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	assert.DeepEqual(t, serverStates(n), want)
	n.proc.Report(server("s1", registry.Ready, 1))
	assert.Equal(t, serverStates(n)["s1"], registry.Draining, "a leaving server never becomes ready again")
}

// TestCorruptServersFileIsIgnored checks that a replica starts without the saved servers if
// their file can't be read.
func TestCorruptServersFileIsIgnored(t *testing.T) {
	c := newCluster(t, 3)
	n := c.nodes[0]
	awaitReady := func(id string) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			n.proc.Report(server(id, registry.Ready, 1))
			if serverStates(n)[id] != registry.Ready {
				return poll.Continue("not started")
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second))
	}
	awaitReady("before")
	n.stop()
	assert.NilError(t, os.WriteFile(filepath.Join(n.dir, "control.servers"), []byte("\xffno servers"), 0o600))
	c.start(n)
	awaitReady("after")
}
