package settings_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/settings"
)

// BenchmarkServers lists the servers of a tree of the size for which the system is designed.
func BenchmarkServers(b *testing.B) {
	var text strings.Builder
	text.WriteString("fleet:\n  sites:\n")
	for z := range 11 {
		fmt.Fprintf(&text, "    s%d:\n      zone: z%d\n      pools:\n        p:\n          role: decode\n          servers:\n", z, z)
		for i := range 55 {
			fmt.Fprintf(&text, "            s-%d-%d: {agent: \"10.0.%d.%d:1\"}\n", z, i, z, i)
		}
	}
	tree, err := settings.Parse("tree", []byte(text.String()))
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		tree.Servers()
	}
}
