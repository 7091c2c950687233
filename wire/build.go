package wire

import (
	"runtime/debug"
	"sync"
)

// build is the name that a linker flag sets: -X github.com/ledgepin/ledgepin/wire.build=NAME.
var build string

// Build returns the name of this build: the one set by the linker, else the module's
// version, else "unknown".
var Build = sync.OnceValue(func() string {
	info, _ := debug.ReadBuildInfo()
	return buildName(build, info)
})

func buildName(linked string, info *debug.BuildInfo) string {
	name := linked
	if name == "" && info != nil && info.Main.Version != "(devel)" {
		name = info.Main.Version
	}
	name = name[:min(len(name), maxBuildBytes)]
	if name == "" || !printable(name) {
		return "unknown"
	}
	return name
}
