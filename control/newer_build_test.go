package control_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"log/slog"
	"maps"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/control"
	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/wal"
	"github.com/ledgepin/ledgepin/wire"
)

// logBuffer collects what a replica logs.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *logBuffer) count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), what)
}

// startSingle starts the only replica of a group, configured by members or by seeds.
func startSingle(t *testing.T, dir string, byMembers bool, log *logBuffer) (*control.Control, error) {
	t.Helper()
	const addr = "127.0.0.1:1"
	conf := control.Config{Name: addr, Zone: "z", Dir: dir, Log: slog.New(slog.NewTextHandler(log, nil)), ElectionMin: electionMin, HeartbeatEvery: 50 * time.Millisecond}
	if byMembers {
		conf.Members = map[string]string{addr: addr}
	} else {
		conf.Discovery = &control.Discovery{Seeds: []string{addr}, Bootstrap: true, Voters: 1}
	}
	p, err := control.Start(conf)
	if err == nil {
		t.Cleanup(p.Close)
	}
	return p, err
}

// writeJournal returns the data folder of a single replica with commands in its log.
func writeJournal(t *testing.T, commands ...[]byte) string {
	t.Helper()
	dir := t.TempDir()
	j, _, err := wal.Open(dir)
	assert.NilError(t, err)
	boot := consensus.Bootstrap(consensus.Members{Voters: []string{"127.0.0.1:1"}})
	assert.NilError(t, j.SaveSnapshot(boot.Snapshot, boot.Hard, nil))
	for i, c := range commands {
		assert.NilError(t, j.Append(nil, []consensus.Entry{{Index: uint64(i) + 2, Term: 1, Data: c}}))
	}
	assert.NilError(t, j.Close())
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "control.identity"), []byte("127.0.0.1:1"), 0o600))
	return dir
}

// queueLimitChange returns the command that sets the queue limit to a number.
func queueLimitChange(t *testing.T, n int) []byte {
	t.Helper()
	text := func(n int) []byte { return fmt.Appendf(nil, "fleet:\n  queue_limit: %d\n", n) }
	var from []byte
	if n > 1 {
		from = text(n - 1)
	}
	data, err := fleet.Encode(fleet.Change{
		ID: fmt.Sprint(n), Base: uint64(n - 1), Delta: settings.NewDelta(from, text(n)), Sum: sha256.Sum256(text(n)), Who: "op", When: 1e9,
	})
	assert.NilError(t, err)
	return data
}

// dumpValue returns the value at a path in the dump.
func dumpValue(t *testing.T, p *control.Control, path ...string) any {
	t.Helper()
	data, err := json.Marshal(p.Dump())
	assert.NilError(t, err)
	var v any
	assert.NilError(t, json.Unmarshal(data, &v))
	for _, name := range path {
		v = v.(map[string]any)[name]
	}
	return v
}

func newerCommand(t *testing.T) []byte {
	t.Helper()
	data, err := cbor.Marshal(map[int]any{1: "newer", 99: "x"})
	assert.NilError(t, err)
	return data
}

// TestNewerCommandStopsTheReplica checks that a replica stops at a committed command that
// it can't read: it applies no later entry, has no vote, and logs the reason once.
func TestNewerCommandStopsTheReplica(t *testing.T) {
	for name, byMembers := range map[string]bool{"members": true, "seeds": false} {
		t.Run(name, func(t *testing.T) {
			dir := writeJournal(t, queueLimitChange(t, 1), newerCommand(t), queueLimitChange(t, 2))
			log := &logBuffer{}
			p, err := startSingle(t, dir, byMembers, log)
			assert.NilError(t, err)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if s := p.Status(); s.Failed {
					return poll.Success()
				}
				return poll.Continue("the replica has not stopped")
			}, poll.WithTimeout(5*time.Second))
			time.Sleep(1500 * time.Millisecond) // several attempts to reopen a failed disk
			assert.Assert(t, p.Status().Failed, "the replica has rejoined the group")
			assert.Equal(t, dumpValue(t, p, "log", "applied"), float64(2))
			assert.Equal(t, dumpValue(t, p, "settings_revision"), float64(1), "an entry after the unreadable command was applied")
			assert.Equal(t, log.count("LP6015"), 1)
			ok, why := p.Ready()
			assert.Assert(t, !ok && strings.Contains(why, "newer"), why)
		})
	}
}

// TestNewerJournalStopsTheReplica checks that a replica does not change a data folder of a
// newer build, and does not log a line for each attempt.
func TestNewerJournalStopsTheReplica(t *testing.T) {
	body, err := cbor.Marshal(map[int]any{2: []map[int]any{{1: 3, 2: 1, 99: "x"}}})
	assert.NilError(t, err)
	record := binary.LittleEndian.AppendUint32(nil, 0x4c504a31)
	record = binary.LittleEndian.AppendUint32(record, uint32(len(body)))
	record = binary.LittleEndian.AppendUint32(record, crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)))
	record = append(record, body...)
	for name, byMembers := range map[string]bool{"members": true, "seeds": false} {
		t.Run(name, func(t *testing.T) {
			dir := writeJournal(t, queueLimitChange(t, 1))
			path := filepath.Join(dir, "control.log")
			data, err := os.ReadFile(path)
			assert.NilError(t, err)
			data = append(data, record...)
			assert.NilError(t, os.WriteFile(path, data, 0o600))
			log := &logBuffer{}
			p, err := startSingle(t, dir, byMembers, log)
			if byMembers {
				assert.ErrorContains(t, err, "journal_newer")
			} else {
				assert.NilError(t, err)
				time.Sleep(1500 * time.Millisecond)
				assert.Equal(t, log.count("LP6015"), 1)
				assert.Equal(t, log.count("level=ERROR"), 1)
				ok, why := p.Ready()
				assert.Assert(t, !ok && strings.Contains(why, "newer"), why)
			}
			after, err := os.ReadFile(path)
			assert.NilError(t, err)
			assert.DeepEqual(t, after, data)
		})
	}
}

// TestNewerPacketIsRefused checks that a replica uses nothing of a packet with an entry, a
// command or a snapshot that it can't read, not even its term, and that it keeps the link
// open.
func TestNewerPacketIsRefused(t *testing.T) {
	log := &logBuffer{}
	p, err := startSingle(t, writeJournal(t, queueLimitChange(t, 1)), false, log)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok, why := p.Ready(); !ok {
			return poll.Continue("%s", why)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	l, err := wire.Dial(t.Context(), srv.Listener.Addr().String(), wire.Options{Hello: func() wire.Hello {
		return wire.Hello{Name: "127.0.0.1:2", Role: wire.RoleControl}
	}})
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- l.Run(t.Context(), func(*wire.Message) {}) }()
	type fields map[int]any
	packet := func(term int, more fields) {
		raft := fields{1: consensus.Append, 2: "127.0.0.1:2", 3: "127.0.0.1:1", 4: term, 5: 1, 6: 1}
		maps.Copy(raft, more)
		frame, err := cbor.Marshal(fields{23: raft})
		assert.NilError(t, err)
		assert.NilError(t, l.SendFrame(frame))
	}
	before := p.Status()
	packet(1000, fields{7: []fields{{1: 2, 2: 1000, 3: queueLimitChange(t, 5), 99: "x"}}})
	packet(1001, fields{7: []fields{{1: 2, 2: 1001, 3: newerCommand(t)}}})
	packet(1002, fields{1: consensus.Install, 12: fields{1: 99, 2: 1002, 3: fields{1: []string{"x"}}, 4: []byte{}, 99: "x"}})
	state, err := cbor.Marshal(fields{1: 5, 99: "x"})
	assert.NilError(t, err)
	packet(1003, fields{1: consensus.Install, 12: fields{1: 99, 2: 1003, 3: fields{1: []string{"x"}}, 4: state}})
	select {
	case err := <-ended:
		t.Fatalf("the link ended: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	after := p.Status()
	assert.Equal(t, after.Term, before.Term)
	assert.Assert(t, after.Lease && !after.Failed)
	assert.Equal(t, log.count("LP6016"), 1)
	packet(2000, nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.Status().Term != 2000 {
			return poll.Continue("a readable packet is not accepted")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}
