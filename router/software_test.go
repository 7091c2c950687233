package router_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/router"
)

// TestStreamContinuesAtItsSoftwareVersion guards against a stream that continues, after its decode
// server has failed, at a server of another software version, and against one that waits for a
// version of which no server is left.
func TestStreamContinuesAtItsSoftwareVersion(t *testing.T) {
	for _, tt := range []struct {
		name   string
		others string // version of the servers that the stream does not begin at
		want   bool
	}{
		{"a server of the version is left", "v1", true},
		{"none is left", "v2", false},
		{"versions are not reported", "", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCore(2, 4)
			p, d := startPrefill(t, c, "r")
			own := "v1"
			if tt.others == "" {
				own = ""
			}
			same := "d3"
			if d.Server == same {
				same = "d2"
			}
			for n := range 4 {
				switch name := fmt.Sprint("d", n); {
				case name == d.Server:
					c.SetSoftware(name, own)
				case name == same:
					c.SetSoftware(name, tt.others)
				case tt.others != "":
					c.SetSoftware(name, "v2")
				}
			}
			c.Prefilled(start, p.Server, p.ID, kv(), 0, time.Millisecond)
			c.Imported(start, d.Server, d.ID)
			c.Token(start, d.ID, 3)
			effects := c.ServerDown(start, d.Server)
			if !tt.want {
				failed := effectsOf[router.Fail](effects)
				assert.Equal(t, len(failed), 1)
				assert.Assert(t, strings.Contains(failed[0].Detail, "no server of the version"), failed[0].Detail)
				return
			}
			again := effectsOf[router.Reserve](effects)
			assert.Equal(t, len(again), 2)
			for _, r := range again {
				if r.Server[0] == 'd' && tt.others != "" {
					assert.Equal(t, r.Server, same)
				}
			}
		})
	}
}
