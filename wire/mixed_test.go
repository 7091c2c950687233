package wire_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/wire"
)

// TestOldPeersInteroperate guards against a build that can't connect to older ones: links with
// the hellos of kept builds, dialled by either end, use version 3, and all of their messages
// arrive.
func TestOldPeersInteroperate(t *testing.T) {
	for _, build := range keptBuilds {
		keptFrames := frames(t, build)
		for name, helloFrame := range keptFrames {
			if !strings.HasPrefix(name, "hello-") {
				continue
			}
			t.Run(build+" "+name+" dials", func(t *testing.T) {
				got := make(chan *wire.Message, 64)
				links := make(chan *wire.Link, 1)
				addr := serve(t, "", func(l *wire.Link) {
					links <- l
					_ = l.Run(t.Context(), func(m *wire.Message) { got <- m })
				})
				conn := dialRaw(t, addr)
				assert.NilError(t, conn.Write(t.Context(), websocket.MessageBinary, helloFrame))
				l := receive(t, links)
				assert.Equal(t, l.Version(), wire.BaseVersion)
				assert.Equal(t, l.Peer.Range().String(), "3")
				assert.Equal(t, l.Peer.Build, "")
				for _, k := range kinds() {
					if frame := keptFrames[k.name]; frame != nil && k.name != "Hello" {
						assert.NilError(t, conn.Write(t.Context(), websocket.MessageBinary, frame))
						want, err := wire.Unmarshal(frame, build)
						assert.NilError(t, err)
						assert.Assert(t, reflect.DeepEqual(receive(t, got), want), k.name)
					}
				}
				_ = conn.CloseNow()
			})
			t.Run(build+" "+name+" is dialled", func(t *testing.T) { assert.NilError(t, dialStub(t, helloFrame)) })
		}
	}
}

// receive returns the next value, which must come within 5 s.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was received within 5 s")
		panic("unreachable")
	}
}

// TestOldPeersCanReadOurHello checks that field 1 of the hello holds the version that builds
// without ranges require, and that all new fields have numbers that they skip.
func TestOldPeersCanReadOurHello(t *testing.T) {
	addr := serve(t, "", echo)
	conn, _, err := websocket.Dial(t.Context(), "ws://"+addr+wire.Path, nil)
	assert.NilError(t, err)
	defer func() { _ = conn.CloseNow() }()
	_, frame, err := conn.Read(t.Context())
	assert.NilError(t, err)
	var decoded map[int]map[int]any
	assert.NilError(t, cbor.Unmarshal(frame, &decoded))
	assert.Equal(t, len(decoded), 1)
	assert.Equal(t, decoded[1][1], uint64(3))
	assert.Equal(t, decoded[1][8], uint64(3))
	assert.Equal(t, decoded[1][9], uint64(9))
	t.Logf("a hello of %d bytes", len(frame))
}
