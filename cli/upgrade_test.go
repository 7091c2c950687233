package cli_test

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/cli"
	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/control"
	"github.com/ledgepin/ledgepin/operator"
)

// startReplica starts the only replica of a control group and returns the address of its
// operators' listener.
func startReplica(t *testing.T, conf control.Config) string {
	t.Helper()
	conf.Name, conf.Zone = "a", "z"
	conf.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	conf.Members = map[string]string{"a": "127.0.0.1:1"}
	p, err := control.Start(conf)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	srv := httptest.NewServer(operator.Handler(operator.Options{Control: p, Log: conf.Log}))
	t.Cleanup(srv.Close)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := p.UpgradeStatus(); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	return srv.Listener.Addr().String()
}

func runUpgrade(t *testing.T, addr string, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	code := cli.Main(t.Context(), append(append([]string{"upgrade"}, args...), "--operator", addr), &out, &out)
	return out.String(), code
}

func assertContains(t *testing.T, got string, parts ...string) {
	t.Helper()
	for _, p := range parts {
		assert.Assert(t, strings.Contains(got, p), "want %q in\n%s", p, got)
	}
}

func TestUpgradeCommands(t *testing.T) {
	addr := startReplica(t, control.Config{UpgradeAfter: time.Hour})
	got, code := runUpgrade(t, addr, "status")
	assert.Equal(t, code, cli.ExitOK, got)
	assertContains(t, got, "version 3 is in force", "leader   reads 3 to 9", "version 4 waits: it rises by itself in 1h0m0s", "all members read version 4 since ")
	got, code = runUpgrade(t, addr, "status", "--json")
	assert.Equal(t, code, cli.ExitOK, got)
	var u control.UpgradeStatus
	assert.NilError(t, json.Unmarshal([]byte(got), &u))
	assert.Equal(t, u.Version, compat.Base)
	assert.Equal(t, u.AutomaticBlockers[0].Cause, compat.CauseSettling)
	assert.Equal(t, *u.Members[0].Versions, compat.Range{Least: 3, Most: 9})
	got, code = runUpgrade(t, addr, "raise")
	assert.Equal(t, code, cli.ExitOK, got)
	assertContains(t, got, "version 4 is in force", "version 5 waits: it rises by itself in 1h0m0s")
	got, code = runUpgrade(t, addr, "raise")
	assert.Equal(t, code, cli.ExitOK, got)
	assertContains(t, got, "version 5 is in force", "knows no higher version")
	assert.Assert(t, !strings.Contains(got, "waits"), got)
	got, code = runUpgrade(t, addr, "raise")
	assert.Equal(t, code, cli.ExitOK, got)
	assertContains(t, got, "version 5 is in force")
}

func TestUpgradeStatusShowsBlockers(t *testing.T) {
	addr := startReplica(t, control.Config{Versions: compat.Range{Least: 3, Most: 3}})
	got, code := runUpgrade(t, addr, "raise")
	assert.Equal(t, code, cli.ExitOK, got)
	assertContains(t, got, "version 3 is in force", "this build knows no higher version")
	got, code = runUpgrade(t, "127.0.0.1:1", "status")
	assert.Equal(t, code, cli.ExitFailed)
	assertContains(t, got, "link_lost")
	addr = startReplica(t, control.Config{})
	got, _ = runUpgrade(t, addr, "status")
	assertContains(t, got, "version 4 waits: it rises with ledgepin upgrade raise")
}
