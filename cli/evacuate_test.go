package cli_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/cli"
	"github.com/ledgepin/ledgepin/control"
)

func TestEvacuateCommands(t *testing.T) {
	addr := startReplica(t, control.Config{Zones: map[string]string{"z": "r", "y": "r"}})
	run := func(code int, want string, args ...string) {
		t.Helper()
		var out bytes.Buffer
		got := cli.Main(t.Context(), append(append([]string{"evacuate"}, args...), "--operator", addr), &out, &out)
		assert.Equal(t, got, code, out.String())
		assertContains(t, out.String(), want)
	}
	run(cli.ExitOK, "no availability zone is evacuated", "status")
	run(cli.ExitOK, "y is evacuated since 20", "start", "y")
	run(cli.ExitFailed, "unknown_zone", "start", "x")
	run(cli.ExitOK, "y is evacuated since 20", "status")
	run(cli.ExitOK, "no availability zone is evacuated", "finish", "y")
}
