package app_test

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/app"
	"github.com/ledgepin/ledgepin/cli"
)

// TestNewModelVersionReachesAllEngines changes a model's version and adds an
// adapter in the settings. All engines must load both, and every request must
// succeed in the meantime.
func TestNewModelVersionReachesAllEngines(t *testing.T) {
	d := startDev(t, app.DevOptions{})
	cl := client(d, app.DevDeskToken)
	run := func(args ...string) {
		var out bytes.Buffer
		code := cli.Main(t.Context(), append(args, "--operator", d.Operators), &out, &out)
		assert.Equal(t, code, cli.ExitOK, out.String())
	}
	run("settings", "set", "fleet.models.assist.adapters", "[claims]")
	run("settings", "set", "fleet.models.assist.version", "'2'")
	engines := []string{"prefill-1", "prefill-2", "decode-1", "decode-2"}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got, err := cl.Chat.Completions.New(t.Context(), chat("still there?", 3))
		assert.NilError(t, err, "%s", errorBody(err))
		assert.Equal(t, got.Choices[0].Message.Content, answerTo("still there?", 3))
		for _, n := range engines {
			if has := d.Engine(n).Assets(); !slices.Equal(has, []string{"assist@2", "assist@2/claims"}) {
				return poll.Continue("%s has %s", n, strings.Join(has, ", "))
			}
		}
		return poll.Success()
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(50*time.Millisecond))
}
