package main_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/cli"
	"github.com/ledgepin/ledgepin/internal/freeport"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/standin"
)

// binary is the path of the ledgepin command that the tests run.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ledgepin-test")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "ledgepin")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a process of `ledgepin run`.
type process struct {
	t         *testing.T
	file      string // settings file
	operators string // address for operators
	cmd       *exec.Cmd
	log       bytes.Buffer
}

func (p *process) start() {
	p.t.Helper()
	p.cmd = exec.Command(binary, "run", "--config", p.file)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	assert.NilError(p.t, p.cmd.Start())
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// stop kills the process, even if it is frozen, and waits for its end.
func (p *process) stop() {
	if p.cmd != nil && p.cmd.ProcessState == nil {
		p.signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
	}
}

// fleet is a deployment of three control replicas, an entry and three agents as
// real processes, with stand-in engines.
type fleet struct {
	t         *testing.T
	dir       string
	processes map[string]*process
	engines   map[string]*standin.Engine
	callers   string
	tree      string
}

func newFleet(t *testing.T, tokenTime time.Duration) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), processes: map[string]*process{}, engines: map[string]*standin.Engine{}, callers: freeport.Addr(t)}
	t.Cleanup(func() {
		for name, p := range f.processes {
			p.stop()
			if t.Failed() {
				t.Logf("log of %s:\n%s", name, p.log.String())
			}
		}
	})
	var members, upstream []string
	links := map[string]string{}
	for i := range 3 {
		name := fmt.Sprint("control-", i)
		links[name] = freeport.Addr(t)
		members = append(members, fmt.Sprintf("%s: %q", name, links[name]))
		upstream = append(upstream, fmt.Sprintf("%q", links[name]))
	}
	for i := range 3 {
		name := fmt.Sprint("control-", i)
		f.add(name, fmt.Sprintf("roles: [control]\ndata: %s\ncontrol: {links: %q, members: {%s}}\n",
			filepath.Join(f.dir, name), links[name], strings.Join(members, ", ")))
	}
	f.add("entry", fmt.Sprintf("roles: [entry]\nentry: {callers: %q, upstream: [%s]}\n", f.callers, strings.Join(upstream, ", ")))
	pools := map[string]string{}
	for _, name := range []string{"prefill-1", "decode-1", "decode-2"} {
		e, err := standin.StartEngine("127.0.0.1:0", standin.EngineOptions{
			Models: []string{"m"}, PrefillRate: 1e5, TokenTime: tokenTime, LinkRate: 1e9, KVPerToken: 1000,
			KVHold: 5 * time.Second, Slots: 8, Tokens: 1000,
		})
		assert.NilError(t, err)
		t.Cleanup(e.Kill)
		f.engines[name] = e
		addr := freeport.Addr(t)
		pools[name] = addr
		f.add("agent-"+name, fmt.Sprintf("roles: [agent]\nagent: {server: %s, links: %q, engine: %q}\n", name, addr, e.Addr()))
	}
	f.tree = fmt.Sprintf(`fleet:
  queue_limit: 100
  models: {m: {version: "1", weights: 1GB, kv_per_token: 1KB}}
  classes: {desk: {priority: 0, ttft: 2s, tbt: 1s}}
  customers: {c: {tokens: [{sha256: %s, class: desk}]}}
  sites:
    s:
      zone: z
      pools:
        prefill: {role: prefill, slots: 8, models: {m: {}}, servers: {prefill-1: {agent: %q}}}
        decode: {role: decode, slots: 8, models: {m: {}}, servers: {decode-1: {agent: %q}, decode-2: {agent: %q}}}
`, settings.HashToken("desk"), pools["prefill-1"], pools["decode-1"], pools["decode-2"])
	for _, p := range f.processes {
		p.start()
	}
	f.apply(f.tree)
	f.wait("the entry to serve", func() bool { _, err := f.complete(1); return err == nil })
	return f
}

func (f *fleet) add(name, section string) {
	p := &process{t: f.t, file: filepath.Join(f.dir, name+".yaml"), operators: freeport.Addr(f.t)}
	text := fmt.Sprintf("name: %s\nzone: z\noperators: %q\ndrain: 20s\n%s", name, p.operators, section)
	assert.NilError(f.t, os.WriteFile(p.file, []byte(text), 0o600))
	f.processes[name] = p
}

// wait waits until cond is true and fails the test after 30 s.
func (f *fleet) wait(what string, cond func() bool) {
	f.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if cond() {
			return
		}
	}
	f.t.Fatalf("timeout while waiting for %s", what)
}

// operatorFlags returns the flags with the operators' addresses of the control
// replicas.
func (f *fleet) operatorFlags() []string {
	var out []string
	for i := range 3 {
		out = append(out, "--operator", f.processes[fmt.Sprint("control-", i)].operators)
	}
	return out
}

// ledgepin runs a command on the fleet and returns its output and exit code.
func (f *fleet) ledgepin(args ...string) (string, int) {
	var out bytes.Buffer
	code := cli.Main(f.t.Context(), append(args, f.operatorFlags()...), &out, &out)
	return out.String(), code
}

// apply applies a settings tree.
func (f *fleet) apply(text string) {
	f.t.Helper()
	file := filepath.Join(f.dir, "tree.yaml")
	assert.NilError(f.t, os.WriteFile(file, []byte(text), 0o600))
	id := fmt.Sprint("change-", time.Now().UnixNano())
	f.wait("the change", func() bool {
		_, code := f.ledgepin("settings", "apply", file, "--id", id)
		return code == cli.ExitOK
	})
}

// settingsReply is the answer of a control replica to a request for the settings:
// their revision, or the code of an error.
type settingsReply struct {
	Revision uint64 `json:"revision"`
	Code     string `json:"code"`
}

func (f *fleet) settingsAt(name string) settingsReply {
	var out settingsReply
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + f.processes[name].operators + "/v1/settings")
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&out)
	return out
}

// leader waits until a control replica is the leader and has its lease, and
// returns its name.
func (f *fleet) leader() string {
	f.t.Helper()
	out := ""
	f.wait("a leader", func() bool {
		for i := range 3 {
			name := fmt.Sprint("control-", i)
			c := http.Client{Timeout: time.Second}
			resp, err := c.Get("http://" + f.processes[name].operators + "/v1/dump")
			if err != nil {
				continue
			}
			data, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if bytes.Contains(data, []byte(`"lease": true`)) {
				out = name
				return true
			}
		}
		return false
	})
	return out
}

// stream sends a request for a streamed completion.
func (f *fleet) stream(tokens int) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"prompt":"go on"}`, tokens)
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.callers+"/v1/completions", strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer desk")
	resp, err := http.DefaultClient.Do(req)
	if err == nil && resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		data, _ := io.ReadAll(resp.Body)
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	return resp, err
}

// chunk has the fields of a streamed completion's events that the tests use.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// readStream reads a stream to its end and returns its text. It calls onToken
// after each token with the number of tokens so far.
func readStream(resp *http.Response, onToken func(int)) (string, error) {
	defer resp.Body.Close()
	var text strings.Builder
	scan := bufio.NewScanner(resp.Body)
	for n := 0; scan.Scan(); {
		data, ok := strings.CutPrefix(scan.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
			return text.String(), fmt.Errorf("invalid event %s", data)
		}
		text.WriteString(c.Choices[0].Text)
		n++
		onToken(n)
	}
	return text.String(), fmt.Errorf("the stream ended early: %v", scan.Err())
}

// complete requests a completion and returns its text.
func (f *fleet) complete(tokens int) (string, error) {
	resp, err := f.stream(tokens)
	if err != nil {
		return "", err
	}
	return readStream(resp, func(int) {})
}

// streamingServer returns the name of a decode server that holds a request, empty
// if there is none.
func (f *fleet) streamingServer() string {
	for _, n := range []string{"decode-1", "decode-2"} {
		if len(f.engines[n].Held()) > 0 {
			return n
		}
	}
	return ""
}

// noneHeld reports whether no engine holds memory for a request.
func (f *fleet) noneHeld() bool {
	for _, e := range f.engines {
		if len(e.Held()) > 0 {
			return false
		}
	}
	return true
}

// TestStreamSurvivesKilledAgent kills the agent process of the decode server
// during a stream and restarts it. The stream must complete, each token once.
func TestStreamSurvivesKilledAgent(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 10*time.Millisecond)
	resp, err := f.stream(200)
	assert.NilError(t, err)
	text, err := readStream(resp, func(n int) {
		if n == 20 {
			p := f.processes["agent-"+f.streamingServer()]
			p.stop()
			p.start()
		}
	})
	assert.NilError(t, err)
	assert.Equal(t, text, standin.Answer("go on", 200))
	f.wait("all memory to be free", f.noneHeld)
}

// TestFrozenEntryLosesLeases stops the entry process with SIGSTOP during a stream.
// Its leases must expire, so that the memory at the engines is freed, and it must
// serve again after SIGCONT.
func TestFrozenEntryLosesLeases(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 50*time.Millisecond)
	resp, err := f.stream(1000)
	assert.NilError(t, err)
	defer resp.Body.Close()
	f.wait("the stream", func() bool { return f.streamingServer() != "" })
	f.processes["entry"].signal(syscall.SIGSTOP)
	f.wait("all memory to be free though the entry is frozen", f.noneHeld)
	f.processes["entry"].signal(syscall.SIGCONT)
	f.wait("the entry to serve again", func() bool { _, err := f.complete(3); return err == nil })
}

// TestTerminatedEntryCompletesStream sends SIGTERM to the entry during a stream.
// The stream must complete, and the process must exit with code 0.
func TestTerminatedEntryCompletesStream(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 10*time.Millisecond)
	resp, err := f.stream(150)
	assert.NilError(t, err)
	text, err := readStream(resp, func(n int) {
		if n == 10 {
			f.processes["entry"].signal(syscall.SIGTERM)
		}
	})
	assert.NilError(t, err)
	assert.Equal(t, text, standin.Answer("go on", 150))
	assert.NilError(t, f.processes["entry"].cmd.Wait(), "exit code 0")
}

// TestControlSurvivesDeadAndFrozenLeaders kills the leader of control, then freezes
// its successor, which is still in the state of a leader when it resumes. Changes
// must succeed in the meantime, and the resumed replica may not return an old
// revision.
func TestControlSurvivesDeadAndFrozenLeaders(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 10*time.Millisecond)
	first := f.leader()
	f.processes[first].stop()
	f.apply(strings.Replace(f.tree, "queue_limit: 100", "queue_limit: 101", 1))
	f.processes[first].start()
	f.wait("the killed replica to catch up", func() bool { return f.settingsAt(first).Revision == 2 })

	frozen := f.leader()
	f.processes[frozen].signal(syscall.SIGSTOP)
	f.apply(strings.Replace(f.tree, "queue_limit: 100", "queue_limit: 102", 1))
	f.processes[frozen].signal(syscall.SIGCONT)
	for range 50 { // it must refuse, or answer with the newest revision
		got := f.settingsAt(frozen)
		assert.Assert(t, got.Code == "not_leader" || got.Revision == 3, "%+v", got)
	}
	f.wait("the frozen replica to catch up", func() bool { return f.settingsAt(frozen).Revision == 3 })
	out, code := f.ledgepin("settings", "history")
	assert.Equal(t, code, cli.ExitOK)
	assert.Equal(t, strings.Count(out, "change-"), 3, out)
	_, err := f.complete(3)
	assert.NilError(t, err)
}
