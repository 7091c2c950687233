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

func TestExplainMergesLogFiles(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	one := write("one.log", `{"time":"2026-01-02T10:00:00.5Z","level":"INFO","msg":"send failed","name":"g1","event":"LP2010","id":"q1","server":"i-1","kind":"not_run","error":null}
not a log line about q1
{"time":"2026-01-02T10:00:00.1Z","level":"INFO","msg":"request refused","name":"g1","event":"LP2001","id":"q1","reason":"no engine has room"}
{"time":"2026-01-02T10:00:00.2Z","level":"INFO","msg":"request done","name":"g1","event":"LP2003","id":"q11"}
`)
	two := write("two.log", `{"time":"2026-01-02T10:00:01Z","level":"INFO","msg":"request done","name":"g2","event":"LP2003","id":"q1","status":200}
`)
	var out, errOut bytes.Buffer
	code := cli.Main(context.Background(), []string{"explain", "--log", two, "--log", one, "q1"}, &out, &errOut)
	assert.Equal(t, code, cli.ExitOK, errOut.String())
	assert.Equal(t, out.String(), `10:00:00.500 g1: send failed (LP2010) kind=not_run server=i-1
10:00:00.100 g1: request refused (LP2001) reason=no engine has room
10:00:01.000 g2: request done (LP2003) status=200
`)
	code = cli.Main(context.Background(), []string{"explain", "--log", one, "q2"}, &out, &errOut)
	assert.Equal(t, code, cli.ExitFailed)
}

func TestCheckSuggestsTreeFlag(t *testing.T) {
	var out, errOut bytes.Buffer
	code := cli.Main(context.Background(), []string{"check", filepath.Join("..", "examples", "dunaj", "tree.yaml")}, &out, &errOut)
	assert.Equal(t, code, cli.ExitFailed)
	assert.Assert(t, bytes.Contains(errOut.Bytes(), []byte("is a settings tree, not the settings of a process: use --tree")), errOut.String())
}
