package control

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/wire"
)

// TestServerListsFitIntoFrames guards against a list of servers that exceeds a frame: no replica and
// no gateway that opens a link would receive any of them. Applied in order, the parts give the same
// roster as the whole.
func TestServerListsFitIntoFrames(t *testing.T) {
	const longest = 256
	m := &wire.Servers{Alive: true, For: localReportTTL}
	for i := range 20000 {
		text := fmt.Sprintf("%0*d", longest, i)
		m.List = append(m.List, registry.Server{ID: text, Service: text, Address: strings.Repeat("a", longest), Zone: text, Name: text, Version: text, State: registry.Ready})
		if i%3 == 0 {
			m.Dropped = append(m.Dropped, text)
		}
	}
	var whole, parts registry.Roster
	whole.Update(m.List, m.Dropped)
	messages := serverMessages(m)
	for i, part := range messages {
		frame, err := wire.Marshal(part)
		assert.NilError(t, err)
		assert.Assert(t, len(frame) < wire.MaxFrameBytes, "%d bytes", len(frame))
		assert.Equal(t, part.Servers.Alive, i == len(messages)-1)
		parts.Update(part.Servers.List, part.Servers.Dropped)
	}
	assert.Equal(t, len(parts.Except(nil)), len(whole.Except(nil)))
	assert.Equal(t, len(serverMessages(&wire.Servers{})), 1)
}
