package wire_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/wire"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

func hello() wire.Hello { return wire.Hello{Name: "server", Role: wire.RoleAgent} }

// serve runs a link server with a token.
func serve(t *testing.T, token string, serve func(*wire.Link)) string {
	t.Helper()
	return serveWith(t, wire.Options{Hello: hello, Token: token}, serve)
}

// serveWith runs a link server with the given options.
func serveWith(t *testing.T, o wire.Options, serve func(*wire.Link)) string {
	t.Helper()
	leak := goleak.IgnoreCurrent()
	srv := httptest.NewServer(wire.Handler(quiet, o, serve))
	t.Cleanup(func() {
		srv.Close()
		goleak.VerifyNone(t, leak)
	})
	return srv.Listener.Addr().String()
}

func echo(l *wire.Link) {
	_ = l.Run(context.Background(), func(m *wire.Message) { _ = l.Send(m) })
}

func TestEcho(t *testing.T) {
	addr := serve(t, "a secret of the fleet", echo)
	l, err := wire.Dial(t.Context(), addr, wire.Options{Hello: hello, Token: "a secret of the fleet"})
	assert.NilError(t, err)
	assert.Equal(t, l.Peer.Name, "server")
	want := wire.Message{Cancel: &wire.Cancel{ID: lease.ID{Req: "r", Attempt: 3}}}
	assert.NilError(t, l.Send(&want))
	var got *wire.Message
	err = l.Run(t.Context(), func(m *wire.Message) {
		got = m
		l.Close()
	})
	assert.Assert(t, fault.Is(err, fault.LinkLost), "%v", err)
	assert.DeepEqual(t, got, &want)
	assert.Assert(t, fault.Is(l.Send(&want), fault.LinkLost))
}

func TestWrongToken(t *testing.T) {
	addr := serve(t, "a secret of the fleet", echo)
	_, err := wire.Dial(t.Context(), addr, wire.Options{Hello: hello, Token: "another"})
	assert.Assert(t, fault.Is(err, fault.LinkLost), "%v", err)
	assert.ErrorContains(t, err, "401")
}

// dialStub dials a peer whose first frame is frame, and returns the error.
func dialStub(t *testing.T, frame []byte) error {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer func() { _ = conn.CloseNow() }()
		_ = conn.Write(r.Context(), websocket.MessageBinary, frame)
		_, _, _ = conn.Read(r.Context())
		_, _, _ = conn.Read(r.Context())
	}))
	t.Cleanup(srv.Close)
	l, err := wire.Dial(t.Context(), srv.Listener.Addr().String(), wire.Options{Hello: hello})
	if err == nil {
		l.Close()
	}
	return err
}

// dialRaw opens a WebSocket without the package's client.
func dialRaw(t *testing.T, addr string) *websocket.Conn {
	t.Helper()
	c, _, err := websocket.Dial(t.Context(), "ws://"+addr+wire.Path, nil)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.CloseNow() })
	_, _, err = c.Read(t.Context()) // the server's hello
	assert.NilError(t, err)
	return c
}

func TestBadFirstFramesCloseLink(t *testing.T) {
	old, err := wire.Marshal(&wire.Message{Hello: &wire.Hello{Version: wire.BaseVersion + 1, Name: "x"}})
	assert.NilError(t, err)
	heartbeat, err := wire.Marshal(&wire.Message{Heartbeat: &wire.Heartbeat{}})
	assert.NilError(t, err)
	for _, c := range []struct {
		name  string
		kind  websocket.MessageType
		frame []byte
	}{
		{"other version", websocket.MessageBinary, old},
		{"no hello", websocket.MessageBinary, heartbeat},
		{"not CBOR", websocket.MessageBinary, []byte("\xff\xff hello")},
		{"text", websocket.MessageText, []byte("hello")},
		{"deep nesting", websocket.MessageBinary, []byte(strings.Repeat("\x81", 100))},
		{"huge array", websocket.MessageBinary, []byte("\xa1\x01\x9b\x7f\xff\xff\xff\xff\xff\xff\xff")},
	} {
		t.Run(c.name, func(t *testing.T) {
			served := false
			addr := serve(t, "", func(*wire.Link) { served = true })
			conn := dialRaw(t, addr)
			assert.NilError(t, conn.Write(t.Context(), c.kind, c.frame))
			_, _, err := conn.Read(t.Context())
			assert.Assert(t, err != nil, "the server did not close the link")
			assert.Assert(t, !served)
		})
	}
}

// TestSilentPeerTimesOut checks that a link to a peer that sends nothing ends.
func TestSilentPeerTimesOut(t *testing.T) {
	addr := serve(t, "", func(l *wire.Link) { _ = l.Run(context.Background(), func(*wire.Message) {}) })
	l, err := wire.Dial(t.Context(), addr, wire.Options{Hello: hello})
	assert.NilError(t, err)
	begin := time.Now()
	err = l.Run(t.Context(), func(*wire.Message) {})
	assert.Assert(t, fault.Is(err, fault.LinkLost), "%v", err)
	assert.Assert(t, time.Since(begin) > time.Second)
}

// TestFullSendQueueClosesLink guards against a sender that blocks on a peer that does not
// read: the link must be closed.
func TestFullSendQueueClosesLink(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: wire.Handler(quiet, wire.Options{Hello: hello}, func(l *wire.Link) {
		time.Sleep(300 * time.Millisecond) // does not read
	})}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	l, err := wire.Dial(t.Context(), ln.Addr().String(), wire.Options{Hello: hello})
	assert.NilError(t, err)
	defer l.Close()
	for range 100000 {
		if err = l.Send(&wire.Message{Heartbeat: &wire.Heartbeat{}}); err != nil {
			break
		}
	}
	assert.Assert(t, fault.Is(err, fault.LinkLost), "%v", err)
}

func BenchmarkChunkFrame(b *testing.B) {
	m := &wire.Message{Chunk: &wire.Chunk{ID: lease.ID{Req: "0123456789abcdef01234567", Attempt: 1}}}
	m.Chunk.Index, m.Chunk.Text = 100, " token"
	b.ReportAllocs()
	for b.Loop() {
		frame, err := wire.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := wire.Unmarshal(frame, "x"); err != nil {
			b.Fatal(err)
		}
	}
}
