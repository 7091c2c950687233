package wire_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/wire"
)

// TestNegotiatesHighestCommonVersion guards against two ends that use different versions.
// Both must use the highest version that both support, or both must refuse the link with an
// error that names both ranges.
func TestNegotiatesHighestCommonVersion(t *testing.T) {
	for _, c := range []struct {
		name             string
		dialer, accepter compat.Range
		version          int
	}{
		{"the same build", wire.Versions, wire.Versions, 9},
		{"one version of ours", compat.Single(3), wire.Versions, 3},
		{"one version of theirs", wire.Versions, compat.Single(3), 3},
		{"the previous build", compat.Range{Least: 3, Most: 8}, wire.Versions, 8},
		{"a later build", compat.Range{Least: 4, Most: 11}, wire.Versions, 9},
		{"a dialling build that is too new", compat.Range{Least: 10, Most: 11}, wire.Versions, 0},
		{"a dialling build that is too old", wire.Versions, compat.Range{Least: 10, Most: 11}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			accepted := make(chan *wire.Link, 1)
			addr := serveWith(t, wire.Options{Hello: hello, Versions: c.accepter}, func(l *wire.Link) { accepted <- l })
			l, err := wire.Dial(t.Context(), addr, wire.Options{Hello: hello, Versions: c.dialer})
			if c.version == 0 {
				assert.Assert(t, fault.Is(err, fault.VersionsApart), "%v", err)
				assert.ErrorContains(t, err, "version "+c.accepter.String())
				assert.ErrorContains(t, err, "this process "+c.dialer.String())
				assert.ErrorContains(t, err, addr)
				assert.Equal(t, len(accepted), 0)
				return
			}
			assert.NilError(t, err)
			defer l.Close()
			assert.Equal(t, l.Version(), c.version)
			assert.Equal(t, l.Peer.Range(), c.accepter)
			assert.Equal(t, l.Peer.Build, wire.Build())
			other := <-accepted
			assert.Equal(t, other.Version(), c.version)
			assert.Equal(t, other.Peer.Range(), c.dialer)
		})
	}
}

// TestBadHellosAreRefused checks that an invalid hello is refused as a bad peer, with a
// reason.
func TestBadHellosAreRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		hello  wire.Hello
		code   *fault.Code
		detail string
	}{
		{"2^53", wire.Hello{Version: 3, Least: 3, Most: 1 << 53}, fault.BadPeer, "from 3 to 9007199254740992"},
		{"2^53 at both ends", wire.Hello{Version: 3, Least: 1 << 53, Most: 1 << 53}, fault.BadPeer, "want 1 to 65535"},
		{"one above the highest", wire.Hello{Version: 3, Least: 3, Most: 65536}, fault.BadPeer, "want 1 to 65535"},
		{"negative", wire.Hello{Version: 3, Least: -1, Most: 4}, fault.BadPeer, "from -1 to 4"},
		{"reversed", wire.Hello{Version: 3, Least: 4, Most: 3}, fault.BadPeer, "from 4 to 3"},
		{"no least", wire.Hello{Version: 3, Most: 4}, fault.BadPeer, "from 0 to 4"},
		{"no most", wire.Hello{Version: 3, Least: 3}, fault.BadPeer, "from 3 to 0"},
		{"nothing", wire.Hello{}, fault.BadPeer, "from 0 to 0"},
		{"a negative version", wire.Hello{Version: -3}, fault.BadPeer, "from -3 to -3"},
		{"a version of 2^53", wire.Hello{Version: 1 << 53}, fault.BadPeer, "want 1 to 65535"},
		{"a version with ranges, but no range", wire.Hello{Version: 4}, fault.BadPeer, "no range"},
		{"a build of 1 MB", wire.Hello{Version: 3, Least: 3, Most: 4, Build: strings.Repeat("b", 1<<20)}, fault.BadPeer, ""},
		{"a build of 65 bytes", wire.Hello{Version: 3, Least: 3, Most: 4, Build: strings.Repeat("b", 65)}, fault.BadPeer, "65 bytes"},
		{"a build with a NUL", wire.Hello{Version: 3, Least: 3, Most: 4, Build: "v1\x00"}, fault.BadPeer, "plain text"},
		{"a build with a line end", wire.Hello{Version: 3, Least: 3, Most: 4, Build: "v1\nfake"}, fault.BadPeer, "plain text"},
		{"protocol 2", wire.Hello{Version: 2}, fault.VersionsApart, "speaks version 2, this process 3 to 9"},
	} {
		t.Run(c.name, func(t *testing.T) {
			frame, err := wire.Marshal(&wire.Message{Hello: &c.hello})
			assert.NilError(t, err)
			err = dialStub(t, frame)
			assert.Assert(t, fault.Is(err, c.code), "%v", err)
			assert.ErrorContains(t, err, c.detail)
		})
	}
}
