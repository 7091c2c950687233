package cli_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/app"
	"github.com/ledgepin/ledgepin/cli"
)

// step is one command of docs/WALK.md and the lines that it must print.
type step struct {
	cmd  string
	want []string
}

// readSteps reads the commands of a page: the lines that begin with "$" in fenced blocks of
// language sh, with the lines below them as the expected output.
func readSteps(t *testing.T, path string) []step {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	var out []step
	inside := false
	for line := range strings.Lines(string(data)) {
		line = strings.TrimRight(line, "\n")
		switch {
		case strings.HasPrefix(line, "```"):
			inside = strings.HasPrefix(line, "```sh")
		case !inside:
		case strings.HasPrefix(line, "$ "):
			out = append(out, step{cmd: line[2:]})
		default:
			out[len(out)-1].want = append(out[len(out)-1].want, line)
		}
	}
	return out
}

// walker runs the commands against the dev command's processes, which listen on free ports.
type walker struct {
	t          *testing.T
	dev        *app.Dev
	background chan string // receives the output of the background command
	lastID     string
}

// TestWalkPageMatchesOutput runs the commands of docs/WALK.md and checks that their outputs have the
// lines that the page shows.
func TestWalkPageMatchesOutput(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	d, err := app.StartDev(ctx, app.DevOptions{
		Listen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0", TokenTime: 20 * time.Millisecond, PrefillRate: 8000,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	w := &walker{t: t, dev: d}
	all := readSteps(t, "../docs/WALK.md")
	assert.Assert(t, len(all) > 12)
	for _, s := range all {
		got := w.run(s.cmd)
		for _, want := range s.want {
			assert.Assert(t, matches(want, got), "%s\nwant: %s\ngot:\n%s", s.cmd, want, got)
		}
	}
}

// matches reports whether an output has a line of the page, in which ... matches any text.
func matches(want, got string) bool {
	pattern := strings.ReplaceAll(regexp.QuoteMeta(strings.TrimSpace(want)), `\.\.\.`, ".*")
	return regexp.MustCompile(pattern).MatchString(got)
}

// withAddresses replaces the page's addresses with those in use.
func (w *walker) withAddresses(s string) string {
	s = strings.ReplaceAll(s, "127.0.0.1:8080", w.dev.Callers[0])
	return strings.ReplaceAll(s, "127.0.0.1:8081", w.dev.Operators)
}

func (w *walker) run(cmd string) string {
	w.t.Helper()
	args := splitArgs(w.withAddresses(cmd))
	switch args[0] {
	case "go": // dev already runs; its output is its hints
		var out bytes.Buffer
		assert.NilError(w.t, w.dev.Hints(&out))
		text := strings.ReplaceAll(out.String(), w.dev.Callers[0], "127.0.0.1:8080")
		return strings.ReplaceAll(text, w.dev.Operators, "127.0.0.1:8081")
	case "curl":
		if args[len(args)-1] == "&" {
			w.background = make(chan string, 1)
			go func() { w.background <- w.curl(args[1 : len(args)-1]) }()
			time.Sleep(500 * time.Millisecond) // let the answer begin to stream
			return ""
		}
		return w.curl(args[1:])
	case "ledgepin":
		return w.ledgepin(args[1:])
	case "sleep":
		time.Sleep(time.Second)
		return ""
	case "wait":
		return <-w.background
	}
	w.t.Fatalf("the test does not support a command of docs/WALK.md: %s", cmd)
	return ""
}

func (w *walker) ledgepin(args []string) string {
	w.t.Helper()
	if args[0] != "dump" {
		args = append(args, "--operator", w.dev.Operators)
	}
	for i := range args {
		args[i] = strings.ReplaceAll(args[i], "REQUEST-ID", w.lastID)
	}
	var out, errOut bytes.Buffer
	code := cli.Main(w.t.Context(), args, &out, &errOut)
	assert.Equal(w.t, code, cli.ExitOK, errOut.String())
	return out.String()
}

// curl implements the flags of curl that the page uses, and returns the body of the response.
func (w *walker) curl(args []string) string {
	method, url, body := http.MethodGet, "", ""
	header := http.Header{}
	for i := 0; i < len(args); i++ {
		switch args[i] {
		case "-N":
		case "-X":
			i++
			method = args[i]
		case "-H":
			i++
			k, v, _ := strings.Cut(args[i], ": ")
			header.Set(k, v)
		case "-d":
			i++
			method, body = http.MethodPost, args[i]
		default:
			url = args[i]
		}
	}
	req, err := http.NewRequestWithContext(w.t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header = header
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	if id := resp.Header.Get("X-Request-Id"); id != "" {
		w.lastID = id
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Sprint(string(data), err)
	}
	return string(data)
}

// splitArgs splits a command line at spaces outside of quotes.
func splitArgs(cmd string) []string {
	var out []string
	var word strings.Builder
	var quote rune
	flush := func() {
		if word.Len() > 0 {
			out = append(out, word.String())
			word.Reset()
		}
	}
	for _, r := range cmd {
		switch {
		case quote != 0 && r == quote:
			quote = 0
		case quote == 0 && (r == '\'' || r == '"'):
			quote = r
		case quote == 0 && r == ' ':
			flush()
		default:
			word.WriteRune(r)
		}
	}
	flush()
	return out
}

func TestExitCodes(t *testing.T) {
	good := t.TempDir() + "/good.yaml"
	assert.NilError(t, os.WriteFile(good, []byte("fleet: {queue_limit: 5}\n"), 0o600))
	bad := t.TempDir() + "/bad.yaml"
	assert.NilError(t, os.WriteFile(bad, []byte("fleet:\n  queue_limit: x\n"), 0o600))
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"version"}, cli.ExitOK, "ledgepin "},
		{[]string{"events"}, cli.ExitOK, "LP1001"},
		{[]string{"check", "--tree", good}, cli.ExitOK, "ok"},
		{[]string{"check", "--tree", bad}, cli.ExitFailed, ":2: fleet.queue_limit: want a value of type int"},
		{[]string{"dump", "127.0.0.1:1"}, cli.ExitFailed, "link_lost (link at 127.0.0.1:1)"},
		{[]string{"dance"}, cli.ExitUsage, ""},
		{[]string{"run"}, cli.ExitUsage, "--config"},
		{[]string{"--help"}, cli.ExitOK, "settings"},
	} {
		var out bytes.Buffer
		assert.Equal(t, cli.Main(t.Context(), c.args, &out, &out), c.code, "%v: %s", c.args, out.String())
		assert.Assert(t, strings.Contains(out.String(), c.want), "%v: %s", c.args, out.String())
	}
}

// TestGeneratedPagesAreCurrent checks that the generated pages match the catalogues.
func TestGeneratedPagesAreCurrent(t *testing.T) {
	for flag, page := range map[string]string{"--markdown": "EVENTS.md", "--metrics": "METRICS.md"} {
		var out bytes.Buffer
		assert.Equal(t, cli.Main(t.Context(), []string{"events", flag}, &out, &out), cli.ExitOK)
		data, err := os.ReadFile("../docs/" + page)
		assert.NilError(t, err)
		assert.Equal(t, out.String(), string(data), "run: go run ./cmd/ledgepin events %s > docs/%s", flag, page)
	}
	var codes bytes.Buffer
	assert.Equal(t, cli.Main(t.Context(), []string{"events", "--codes"}, &codes, &codes), cli.ExitOK)
	api, err := os.ReadFile("../docs/API.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(api), codes.String()), "put the output of `ledgepin events --codes` into docs/API.md")
}
