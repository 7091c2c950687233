package cli_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/cli"
)

// FuzzLogs checks that explain reads any log file without a panic, and prints nothing and fails
// if no line is about the request.
func FuzzLogs(f *testing.F) {
	f.Add([]byte(`{"time":"2026-01-02T10:00:00Z","msg":"done","name":"g1","event":"LP2003","id":"q1","x":{"id":"q1"}}`))
	f.Add([]byte("q1 {\nnull q1\n{\"id\":\"q1\",\"time\":7}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		path := filepath.Join(t.TempDir(), "log")
		assert.NilError(t, os.WriteFile(path, data, 0o600))
		var out, errOut bytes.Buffer
		code := cli.Main(context.Background(), []string{"explain", "--log", path, "q1"}, &out, &errOut)
		assert.Assert(t, code == cli.ExitOK && out.Len() > 0 || code == cli.ExitFailed && out.Len() == 0, "%d: %s", code, out.String())
		if !bytes.Contains(data, []byte("q1")) {
			assert.Equal(t, code, cli.ExitFailed)
		}
	})
}
