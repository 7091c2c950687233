package wire_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/wire"
)

// unreadableFrames are frames that are no messages, with the kinds under which they are logged.
func unreadableFrames(t *testing.T) map[string]struct {
	kind  websocket.MessageType
	frame []byte
} {
	type frame = struct {
		kind  websocket.MessageType
		frame []byte
	}
	return map[string]frame{
		"not CBOR":            {websocket.MessageBinary, []byte("\xff\xff hello")},
		"empty":               {websocket.MessageBinary, nil},
		"a text frame":        {websocket.MessageText, []byte("hello")},
		"deep nesting":        {websocket.MessageBinary, []byte(strings.Repeat("\x81", 100))},
		"a huge array":        {websocket.MessageBinary, []byte("\xa1\x01\x9b\x7f\xff\xff\xff\xff\xff\xff\xff")},
		"a number as a map":   {websocket.MessageBinary, later(t, map[int]any{2: 7})},
		"a number overflows":  {websocket.MessageBinary, later(t, map[int]any{20: map[int]any{4: uint64(1) << 63}})},
		"a negative revision": {websocket.MessageBinary, later(t, map[int]any{2: map[int]any{1: -1}})},
		"cut short":           {websocket.MessageBinary, later(t, map[int]any{33: map[int]any{1: []any{map[int]any{1: "s"}}}})[:6]},
		"too many pairs":      {websocket.MessageBinary, append([]byte("\xa1\x0f\xba\x00\x02\x00\x00"), bytes.Repeat([]byte("\x01\x01"), 1<<17)...)},
		"too long":            {websocket.MessageBinary, append([]byte("\xa1\x04"), bytes.Repeat([]byte{1}, wire.MaxFrameBytes)...)},
	}
}

// TestUnreadableFramesKeepLinkOpen guards against a frame that ends a link: its peer would send it
// over the next link as well, so that nothing else gets through. Each kind is logged once.
func TestUnreadableFramesKeepLinkOpen(t *testing.T) {
	for name, unreadable := range unreadableFrames(t) {
		t.Run(name, func(t *testing.T) {
			var out logBuffer
			got := make(chan *wire.Message, 64)
			addr := serveLogged(t, &out, wire.Options{Hello: hello}, func(l *wire.Link) {
				_ = l.Run(context.Background(), func(m *wire.Message) { got <- m })
			})
			conn := dialRaw(t, addr)
			greeting, err := wire.Marshal(&wire.Message{Hello: &wire.Hello{Version: wire.BaseVersion, Least: wire.Versions.Least, Most: wire.Versions.Most, Name: "peer"}})
			assert.NilError(t, err)
			last, err := wire.Marshal(&wire.Message{Cancel: &wire.Cancel{ID: lease.ID{Req: "the last"}}})
			assert.NilError(t, err)
			assert.NilError(t, conn.Write(t.Context(), websocket.MessageBinary, greeting))
			for range 3 {
				assert.NilError(t, conn.Write(t.Context(), unreadable.kind, unreadable.frame))
			}
			assert.NilError(t, conn.Write(t.Context(), websocket.MessageBinary, last))
			select {
			case m := <-got:
				assert.Assert(t, m.Cancel != nil, "%+v", m)
			case <-time.After(5 * time.Second):
				t.Fatal("the message after the unreadable frames did not arrive")
			}
			assert.Equal(t, len(out.linesOf(event.UnreadableFrame)), 1)
		})
	}
}

// TestOversizedFramesAreNotSent guards against a frame that the peer would end the link at.
func TestOversizedFramesAreNotSent(t *testing.T) {
	addr := serve(t, "", echo)
	l, err := wire.Dial(t.Context(), addr, wire.Options{Hello: hello})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	err = l.Send(&wire.Message{Settings: &wire.Settings{Whole: make([]byte, wire.MaxFrameBytes)}})
	assert.Assert(t, fault.Is(err, fault.FrameTooLong), "%v", err)
	assert.NilError(t, l.Send(&wire.Message{Cancel: &wire.Cancel{}}))
	received := false
	_ = l.Run(ctx, func(m *wire.Message) {
		received = m.Cancel != nil
		l.Close()
	})
	assert.Assert(t, received)
}
