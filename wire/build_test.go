package wire

import (
	"runtime/debug"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestBuildName(t *testing.T) {
	module := func(v string) *debug.BuildInfo { return &debug.BuildInfo{Main: debug.Module{Version: v}} }
	for _, c := range []struct {
		linked string
		info   *debug.BuildInfo
		want   string
	}{
		{"", nil, "unknown"},
		{"", module("(devel)"), "unknown"},
		{"", module(""), "unknown"},
		{"", module("v0.1.0"), "v0.1.0"},
		{"2026-12-03", module("v0.1.0"), "2026-12-03"},
		{"two\nlines", nil, "unknown"},
		{strings.Repeat("a", 100), nil, strings.Repeat("a", maxBuildBytes)},
	} {
		assert.Equal(t, buildName(c.linked, c.info), c.want)
	}
}
