package sock

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// pair returns a checked connection and its peer.
func pair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	raw, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	peer, err := ln.Accept()
	assert.NilError(t, err)
	c := Checked(raw, 0).(*Conn)
	t.Cleanup(func() { _, _ = c.Close(), peer.Close() })
	return c, peer.(*net.TCPConn)
}

// startUnreadWrite starts a write that exceeds all buffers, and returns its result.
func startUnreadWrite(c *Conn) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 32<<20))
		done <- err
	}()
	return done
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// TestEndOfStream guards against a connection that was cut off whose reader gets the end of the
// stream, because its writer has taken the error from the kernel. It plays the orders in which a peer
// may end its side, lose the connection, and in which reader and writer notice.
func TestEndOfStream(t *testing.T) {
	const sent = "half"
	for _, c := range []struct {
		name string
		// end is what the peer does after it has sent something.
		end func(peer *net.TCPConn)
		// writes has a write in progress; writerFirst has it end before the first read.
		writes, writerFirst bool
		whole               bool
	}{
		{"reset, no writer", reset, false, false, false},
		{"reset, reader first", reset, true, false, false},
		{"reset, writer first", reset, true, true, false},
		{"closed with unread bytes, writer first", func(p *net.TCPConn) { _ = p.Close() }, true, true, false},
		{"closed, no writer", func(p *net.TCPConn) { _ = p.Close() }, false, false, true},
		{"ended, no writer", func(p *net.TCPConn) { _ = p.CloseWrite() }, false, false, true},
		{"ended, the writer waits", func(p *net.TCPConn) { _ = p.CloseWrite() }, true, false, true},
		{"ended and reset, writer first", func(p *net.TCPConn) {
			_ = p.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			reset(p)
		}, true, true, true},
		{"ended and reset, no writer", func(p *net.TCPConn) {
			_ = p.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			reset(p)
		}, false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range 10 {
				conn, peer := pair(t)
				var written <-chan error
				if c.writes {
					written = startUnreadWrite(conn)
				}
				_, err := io.WriteString(peer, sent)
				assert.NilError(t, err)
				time.Sleep(20 * time.Millisecond) // until the write is blocked
				c.end(peer)
				if c.writerFirst {
					assert.Assert(t, <-written != nil)
				}
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				got, err := io.ReadAll(conn)
				assert.Equal(t, string(got), sent)
				if c.whole {
					assert.NilError(t, err)
				} else {
					assert.ErrorIs(t, err, unix.ECONNRESET)
				}
			}
		})
	}
}

// TestSilence guards against a peer without room that counts as dead although it responds to probes,
// and one that has gone and does not.
func TestSilence(t *testing.T) {
	const step = 100 * time.Millisecond
	idle := unix.TCPInfo{Segs_in: 5}
	inFlight := func(segments uint32) unix.TCPInfo { return unix.TCPInfo{Segs_in: segments, Unacked: 3} }
	probe := func(segments uint32, unanswered uint8) unix.TCPInfo {
		return unix.TCPInfo{Segs_in: segments, Probes: unanswered, Notsent_bytes: 1 << 20}
	}
	full := func(segments uint32) unix.TCPInfo { return unix.TCPInfo{Segs_in: segments, Notsent_bytes: 1 << 20} }
	for _, c := range []struct {
		name  string
		infos []unix.TCPInfo
		want  time.Duration
	}{
		{"nothing sent", []unix.TCPInfo{idle, idle, idle}, 0},
		{"sent and never acknowledged", []unix.TCPInfo{inFlight(5), inFlight(5), inFlight(5), inFlight(5)}, 3 * step},
		{"sent and acknowledged in parts", []unix.TCPInfo{inFlight(5), inFlight(6), inFlight(6), inFlight(8)}, 0},
		{"no room, between probes", []unix.TCPInfo{full(5), full(5), full(5), full(5)}, 0},
		{"no room, each probe is answered", []unix.TCPInfo{full(5), probe(5, 1), full(6), full(6), probe(6, 1), full(7)}, 0},
		{"no room, one probe is not answered", []unix.TCPInfo{full(5), probe(5, 1), probe(5, 1), probe(5, 1), full(6)}, 0},
		{"no room, two probes are not answered", []unix.TCPInfo{full(5), probe(5, 1), probe(5, 2), probe(5, 2), probe(5, 3)}, 2 * step},
		{"gone while in flight, after it had answered", []unix.TCPInfo{inFlight(5), inFlight(6), inFlight(6), inFlight(6)}, 2 * step},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s silence
			got := time.Duration(0)
			for i := range c.infos {
				got = s.update(time.Unix(0, 0).Add(time.Duration(i)*step), &c.infos[i])
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// TestPeerThatReadsLaterIsNotDead guards against a connection that ends because its peer has read
// nothing for longer than a peer may be silent.
func TestPeerThatReadsLaterIsNotDead(t *testing.T) {
	const silence = 300 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	raw, err := Dialer(time.Second, silence).DialContext(t.Context(), "tcp", ln.Addr().String())
	assert.NilError(t, err)
	c := Checked(raw, silence).(*Conn)
	defer func() { _ = c.Close() }()
	peer, err := ln.Accept()
	assert.NilError(t, err)
	defer func() { _ = peer.Close() }()
	const size = 8 << 20
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, size))
		written <- errors.Join(err, c.CloseWrite())
	}()
	time.Sleep(10 * silence)
	n, err := io.Copy(io.Discard, peer)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(size))
	assert.NilError(t, <-written)
}
