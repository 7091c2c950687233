package control_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/poison"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// golden is the directory to which TestWriteKnown copies the files that a replica keeps
// beside the log; see wire/testdata/README.md.
var golden = flag.String("golden", "", "write the files beside the log to this directory")

// stateFiles are the files that a replica keeps beside the log.
var stateFiles = []string{"control.servers", "control.contents"}

// suspectContent is a content under which two servers have ended.
var suspectContent = poison.Record{Content: poison.Digest{1, 2, 3}, Endings: []poison.Ending{
	{Server: "s0", Age: time.Second, Ran: time.Second}, {Server: "s1", Age: 2 * time.Second, Ran: time.Second},
}}

// dialGateway opens a link to a replica as a gateway does.
func dialGateway(t *testing.T, n *node, handle func(*wire.Message)) *wire.Link {
	t.Helper()
	var link *wire.Link
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l, err := wire.Dial(t.Context(), n.addr, wire.Options{Hello: func() wire.Hello {
			return wire.Hello{Name: "g", Role: wire.RoleGateway, Zone: "z"}
		}})
		if err != nil {
			return poll.Continue("no link: %v", err)
		}
		link = l
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	go func() { _ = link.Run(t.Context(), handle) }()
	t.Cleanup(link.Close)
	return link
}

func TestWriteKnown(t *testing.T) {
	if *golden == "" {
		t.Skip("writes only with -golden")
	}
	n := newCluster(t, 3).nodes[0]
	for i := range 3 {
		n.proc.Report(server(fmt.Sprint("s", i), registry.Ready, 1))
	}
	n.proc.Report(server("s1", registry.Draining, 2))
	l := dialGateway(t, n, func(*wire.Message) {})
	assert.NilError(t, l.Send(&wire.Message{Contents: []poison.Record{suspectContent}}))
	time.Sleep(time.Second) // several intervals of the loop that saves them
	for _, name := range stateFiles {
		data, err := os.ReadFile(filepath.Join(n.dir, name))
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(*golden, name), data, 0o644))
	}
}

// TestStartsFromStateFilesOfOlderBuild checks that a replica starts with the servers and
// contents that an older build saved beside the log.
func TestStartsFromStateFilesOfOlderBuild(t *testing.T) {
	c := newCluster(t, 3)
	n := c.nodes[0]
	n.stop()
	for _, name := range stateFiles {
		data, err := os.ReadFile(filepath.Join("..", "wire", "testdata", "55b4ff8", name))
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(n.dir, name), data, 0o600))
	}
	c.start(n)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(serverStates(n)) == 0 {
			return poll.Continue("not read yet")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	assert.DeepEqual(t, serverStates(n), map[string]registry.State{"s0": registry.Ready, "s1": registry.Draining, "s2": registry.Ready})
	received := make(chan []poison.Record, 16)
	l := dialGateway(t, n, func(m *wire.Message) {
		if m.Contents != nil {
			received <- m.Contents
		}
	})
	assert.NilError(t, l.Send(&wire.Message{Loads: &wire.Loads{}})) // the gateway reports its load to this replica
	select {
	case list := <-received:
		assert.Equal(t, len(list), 1)
		assert.Equal(t, list[0].Content, suspectContent.Content)
		assert.Equal(t, len(list[0].Endings), 2)
	case <-time.After(5 * time.Second):
		t.Fatal("the saved content was not received")
	}
}
