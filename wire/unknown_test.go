package wire_test

import (
	"context"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// later returns a frame of a later build: arbitrary numbers at any depth.
func later(t testing.TB, message map[int]any) []byte {
	t.Helper()
	frame, err := cbor.Marshal(message)
	assert.NilError(t, err)
	return frame
}

// TestUnknownFieldsAreSkipped checks that the known fields of a later build's messages are
// read, and that the first unknown field of each kind is reported.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	heartbeat := func(more map[int]any) map[int]any {
		more[1] = 7
		return map[int]any{2: more}
	}
	known := &wire.Message{Heartbeat: &wire.Heartbeat{Revision: 7}}
	read := wire.NewReader()
	for _, c := range []struct {
		name    string
		message map[int]any
		want    *wire.Message
		kind    string
		fresh   bool
	}{
		{"all known", heartbeat(map[int]any{}), known, "Heartbeat", false},
		{"a new field", heartbeat(map[int]any{99: "x"}), known, "Heartbeat", true},
		{"again", heartbeat(map[int]any{99: "x"}), known, "Heartbeat", false},
		{"another field of the kind", heartbeat(map[int]any{98: []int{1}}), known, "Heartbeat", false},
		{"all known after that", heartbeat(map[int]any{}), known, "Heartbeat", false},
		{"deep down", map[int]any{33: map[int]any{1: []any{map[int]any{1: "s", 77: 1}}}},
			&wire.Message{Servers: &wire.Servers{List: []registry.Server{{ID: "s"}}}}, "Servers", true},
		{"a new kind", map[int]any{200: map[int]any{1: "x"}}, &wire.Message{}, "200", true},
		{"the new kind again", map[int]any{200: map[int]any{1: "x"}}, &wire.Message{}, "200", false},
		{"a second new kind", map[int]any{201: "text"}, &wire.Message{}, "201", true},
		{"a kind of three bytes", map[int]any{70000: 1}, &wire.Message{}, "other", true},
		{"a negative kind", map[int]any{-5: 1}, &wire.Message{}, "other", false},
		{"a new kind beside a known one", map[int]any{2: map[int]any{1: 7}, 200: 1}, known, "other", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, kind, fresh, err := read(later(t, c.message))
			assert.NilError(t, err)
			assert.Assert(t, reflect.DeepEqual(m, c.want), "%+v", m)
			assert.Equal(t, kind, c.kind)
			assert.Equal(t, fresh, c.fresh)
		})
	}
}

// TestUnknownMessagesKeepLinkOpen guards against a later build that ends a link with its new
// fields and kinds: they are skipped, logged once per kind and counted, and known fields
// beside them arrive.
func TestUnknownMessagesKeepLinkOpen(t *testing.T) {
	var out logBuffer
	got := make(chan *wire.Message, 64)
	addr := serveLogged(t, &out, wire.Options{Hello: hello}, func(l *wire.Link) {
		_ = l.Run(context.Background(), func(m *wire.Message) { got <- m })
	})
	before := counterValue("ledgepin_unknown_words_total", "Heartbeat")
	conn := dialRaw(t, addr)
	send := func(message map[int]any) {
		assert.NilError(t, conn.Write(t.Context(), websocket.MessageBinary, later(t, message)))
	}
	send(map[int]any{1: map[int]any{1: 3, 2: "later", 3: wire.RoleAgent, 8: 3, 9: 6, 10: "v9.1", 40: "new"}})
	for range 5 {
		send(map[int]any{2: map[int]any{1: 8, 50: "new"}})
		send(map[int]any{240: "new"})
	}
	send(map[int]any{11: map[int]any{1: "the last"}})
	for end := time.After(5 * time.Second); ; {
		select {
		case m := <-got:
			if m.Heartbeat != nil {
				assert.Equal(t, m.Heartbeat.Revision, uint64(8))
			}
			if m.Cancel != nil {
				assert.Equal(t, m.Cancel.Req, "the last")
				lines := out.linesOf(event.UnknownFields)
				assert.Equal(t, len(lines), 3, "%v", lines)
				for i, kind := range []string{"Hello", "Heartbeat", "240"} {
					assert.Assert(t, strings.Contains(lines[i], "kind="+kind), "%s", lines[i])
				}
				assert.Equal(t, counterValue("ledgepin_unknown_words_total", "Heartbeat")-before, 1.0)
				return
			}
		case <-end:
			t.Fatal("the last message did not arrive")
		}
	}
}

// TestBrokenFramesAreBadPeers checks that a frame that is not a message is an error, also if
// it has unknown fields.
func TestBrokenFramesAreBadPeers(t *testing.T) {
	read := wire.NewReader()
	for _, frame := range [][]byte{
		nil, {0xff}, {0xa1}, {0xa1, 0x02}, {0xa1, 0x18}, {0xa1, 0x18, 0x63},
		later(t, map[int]any{2: "no heartbeat"}),
		later(t, map[int]any{2: map[int]any{1: "no number"}}),
		later(t, map[int]any{2: map[int]any{50: 1, 1: "no number"}}),
	} {
		_, _, _, err := read(frame)
		assert.Assert(t, fault.Is(err, fault.BadPeer), "%x: %v", frame, err)
	}
}
