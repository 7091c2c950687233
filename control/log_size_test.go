package control_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/route"
)

// TestLargeChangesDoNotFillTheDisk accepts many large tables: the log was cut after a number of entries
// only, so it filled the disk, and opening it took more memory than a replica has.
func TestLargeChangesDoNotFillTheDisk(t *testing.T) {
	const (
		tableBytes = 100 << 10
		logBytes   = 1 << 20
		tables     = 60
	)
	c := &cluster{t: t, snapshotEvery: 1000, snapshotBytes: logBytes}
	for range 3 {
		c.seeds = append(c.seeds, c.prepare(true).addr)
	}
	for _, n := range c.nodes {
		t.Cleanup(n.stop)
		c.start(n)
	}
	c.awaitVoters(3)
	behind := c.nodes[2]
	for version := uint64(1); version <= tables; version++ {
		switch version {
		case tables / 3:
			behind.stop()
		case tables * 2 / 3:
			c.start(behind)
		}
		table := &route.Table{Version: version, Source: bytes.Repeat([]byte{byte(version)}, tableBytes)}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			for _, n := range c.nodes {
				if n.proc != nil && n.proc.PutTable(context.Background(), table) == nil {
					return poll.Success()
				}
			}
			return poll.Continue("no replica accepts table %d", version)
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
		for _, n := range c.nodes {
			total := int64(0)
			for _, name := range []string{"control.log", "control.snapshot"} {
				if info, err := os.Stat(filepath.Join(n.dir, name)); err == nil {
					total += info.Size()
				}
			}
			assert.Assert(t, total < 2*logBytes, "%d bytes after %d tables", total, version)
		}
	}
	c.expectTable(tables)
	for _, n := range c.nodes {
		n.stop()
	}
	for _, n := range c.nodes {
		n.bootstrap = false
		c.start(n)
	}
	c.expectTable(tables)
}
