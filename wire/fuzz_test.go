package wire_test

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/wire"
)

// addFrames seeds a fuzz target with the frames of the kept builds and of this one.
func addFrames(f *testing.F) {
	f.Helper()
	for _, build := range keptBuilds {
		for _, frame := range frames(f, build) {
			f.Add(frame)
		}
	}
	for _, k := range kinds() {
		frame, err := wire.Marshal(filled(k, nil))
		assert.NilError(f, err)
		f.Add(frame)
	}
	for _, m := range []*wire.Message{
		{Hello: &wire.Hello{Version: 1, Name: "a"}},
		{Reserve: &wire.Reserve{ID: lease.ID{Req: "r", Attempt: 1}, Model: "m"}},
		{Chunk: &wire.Chunk{ID: lease.ID{Req: "r"}}},
		{Settings: &wire.Settings{Revision: 4, Whole: []byte("fleet: {}")}},
	} {
		frame, err := wire.Marshal(m)
		assert.NilError(f, err)
		f.Add(frame)
	}
	f.Add(later(f, map[int]any{2: map[int]any{1: 7, 50: "x"}}))
	f.Add(later(f, map[int]any{200: 1}))
}

// FuzzUnmarshal decodes arbitrary frames: an accepted frame must survive a round trip. The
// decoder of a link, which looks for unknown fields, must accept the same frames and return
// the same messages, for the first unknown field of a kind and for later ones.
func FuzzUnmarshal(f *testing.F) {
	addFrames(f)
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := wire.Unmarshal(frame, "fuzz")
		read := wire.NewReader()
		for range 2 {
			same, _, _, linkErr := read(frame)
			assert.Equal(t, err == nil, linkErr == nil, "%v, on a link %v", err, linkErr)
			if err == nil {
				assert.Assert(t, equal(t, m, same), "on a link %+v", same)
			}
		}
		if err != nil {
			assert.Assert(t, fault.Is(err, fault.BadPeer))
			return
		}
		again, err := wire.Marshal(m)
		assert.NilError(t, err)
		_, err = wire.Unmarshal(again, "fuzz")
		assert.NilError(t, err)
	})
}

// equal compares messages by their encoding if a value, such as NaN, does not equal itself.
func equal(t *testing.T, a, b *wire.Message) bool {
	if reflect.DeepEqual(a, b) {
		return true
	}
	x, err := wire.Marshal(a)
	assert.NilError(t, err)
	y, err := wire.Marshal(b)
	assert.NilError(t, err)
	return string(x) == string(y)
}

// FuzzHello sends an arbitrary first frame to a process that accepts links and to one that
// dials. Both must accept or refuse it alike, and the next peer must be served.
func FuzzHello(f *testing.F) {
	addFrames(f)
	for _, h := range []wire.Hello{
		{Version: 3, Least: 3, Most: 4, Build: "b"}, {Version: 3, Least: 5, Most: 9}, {Version: 3, Least: 4, Most: 3},
		{Version: 3, Most: 4}, {Version: 3, Least: 1 << 53, Most: 1 << 53}, {Version: 2}, {Version: 4}, {Version: -1},
	} {
		frame, err := wire.Marshal(&wire.Message{Hello: &h})
		assert.NilError(f, err)
		f.Add(frame)
	}
	endpoints := newEndpoints(f)
	f.Fuzz(func(t *testing.T, frame []byte) {
		accepted := endpoints.accepts(t, frame)
		dialled, err := endpoints.dials(t, frame)
		assert.Equal(t, accepted != nil, err == nil, "accepted %t, dialled %v", accepted != nil, err)
		if err == nil {
			assert.Assert(t, wire.Versions.Contains(dialled.Version()))
			assert.Assert(t, dialled.Peer.Range().Contains(dialled.Version()))
			assert.Equal(t, accepted.Version(), dialled.Version())
		} else {
			assert.Assert(t, fault.Is(err, fault.BadPeer) || fault.Is(err, fault.VersionsApart), "%v", err)
		}
		if m, bad := wire.Unmarshal(frame, "fuzz"); bad == nil && m.Hello != nil {
			_, common := compat.Common(m.Hello.Range(), wire.Versions)
			assert.Assert(t, common || err != nil, "no version in common")
		}
		good, err := wire.Marshal(&wire.Message{Hello: &wire.Hello{Version: 3, Name: "good"}})
		assert.NilError(t, err)
		assert.Assert(t, endpoints.accepts(t, good) != nil, "the next peer")
	})
}

// endpoints are a process that accepts links and a stub that is dialled, over Unix sockets,
// which use up no ports.
type endpoints struct {
	accept, stub string
	opened       chan *wire.Link
	first        chan []byte
}

func newEndpoints(f *testing.F) *endpoints {
	e := &endpoints{opened: make(chan *wire.Link, 1), first: make(chan []byte, 1)}
	listen := func(name string, h http.Handler) string {
		path := filepath.Join(f.TempDir(), name)
		ln, err := net.Listen("unix", path)
		assert.NilError(f, err)
		srv := &http.Server{Handler: h}
		go func() { _ = srv.Serve(ln) }()
		f.Cleanup(func() { _ = srv.Close() })
		return path
	}
	e.accept = listen("accept", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := wire.Accept(w, r, wire.Options{Hello: hello})
		if err != nil {
			e.opened <- nil
			return
		}
		defer l.Close()
		e.opened <- l
	}))
	e.stub = listen("stub", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		sendAndDrain(r.Context(), conn, <-e.first)
	}))
	return e
}

// sendAndDrain sends one frame and reads until the other side closes.
func sendAndDrain(ctx context.Context, conn *websocket.Conn, frame []byte) {
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(wire.MaxFrameBytes)
	_ = conn.Write(ctx, websocket.MessageBinary, frame)
	for {
		if _, _, err := conn.Read(ctx); err != nil {
			return
		}
	}
}

func (e *endpoints) connect(t *testing.T, path string) (context.Context, *websocket.Conn) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", path)
	}}}
	conn, _, err := websocket.Dial(ctx, "ws://peer"+wire.Path, &websocket.DialOptions{HTTPClient: client})
	assert.NilError(t, err)
	return ctx, conn
}

// accepts returns the link that the accepting process opens after a first frame, or nil.
func (e *endpoints) accepts(t *testing.T, frame []byte) *wire.Link {
	t.Helper()
	ctx, conn := e.connect(t, e.accept)
	sendAndDrain(ctx, conn, frame)
	return <-e.opened
}

// dials returns the link that is opened to a peer with this first frame.
func (e *endpoints) dials(t *testing.T, frame []byte) (*wire.Link, error) {
	t.Helper()
	e.first <- frame
	ctx, conn := e.connect(t, e.stub)
	l, err := wire.Open(ctx, conn, "peer", wire.Options{Hello: hello})
	if err == nil {
		l.Close()
	}
	return l, err
}
