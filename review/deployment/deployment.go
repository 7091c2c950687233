// Package deployment starts the programs of the deploy file as separate processes on loopback
// addresses, for the cases of the review, and records what happens.
package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ledgepin/ledgepin/clock"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2
)

// Trouble reports whether the case includes its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Deployment is a small deployment: the processes of the system and their addresses.
type Deployment struct {
	// Dir is the temporary folder of the deployment.
	Dir string
	// Controls are the control replicas; the first three are the seeds.
	Controls []*Process
	// Gateways are the gateways, with their addresses for callers.
	Gateways []*Process

	binary  string
	started time.Time
	mu      sync.Mutex // guards record
	record  *os.File
}

// Process is one process of the system.
type Process struct {
	Name string
	// API is the address of a control replica for operators and servers, Callers that of a gateway for
	// callers, and Ready that of its readiness check.
	API, Callers, Ready string
	// Operators is the address of the operators' listener, Data the data folder.
	Operators, Data string
	// Settings is the text of the settings file. Found is replaced by whether the group may be founded.
	Settings string

	d    *Deployment
	file string
	cmd  *exec.Cmd
	log  *os.File
}

// New returns a deployment without processes. It writes the record of the case to a file.
func New(binary, record string) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "ledgepin-review")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &Deployment{Dir: dir, binary: binary, started: clock.VM.Now(), record: out}, nil
}

// Note adds a line to the record.
func (d *Deployment) Note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", clock.VM.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(d.record, line)
}

// Close ends all processes that the deployment started, and removes its folder.
func (d *Deployment) Close() {
	for _, p := range append(append([]*Process{}, d.Controls...), d.Gateways...) {
		p.Kill()
		if p.log != nil {
			_ = p.log.Close()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.Dir)
	}
	_ = d.record.Close()
}

// FreePort returns a port that is free on all loopback addresses used here.
func FreePort() (string, error) {
	for range 100 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		_, port, _ := net.SplitHostPort(l.Addr().String())
		_ = l.Close()
		if freeOnAll(port) {
			return port, nil
		}
	}
	return "", fmt.Errorf("no free port")
}

func freeOnAll(port string) bool {
	for n := 2; n < 12; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%s", n, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// Lay prepares control replicas and gateways with the settings that the template of the deploy file gives.
// tolerate is the number of control replicas that may be lost at once.
func (d *Deployment) Lay(controls, gateways, tolerate int) error {
	ports := map[string]string{}
	for _, use := range []string{"links", "api", "callers", "ready", "operators", "metrics"} {
		port, err := FreePort()
		if err != nil {
			return err
		}
		ports[use] = port
	}
	var seeds []string
	for n := range min(controls, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("127.0.0.%d:%s", n+2, ports["api"])))
	}
	list := strings.Join(seeds, ",")
	for n := range controls {
		ip := fmt.Sprintf("127.0.0.%d", n+2)
		p := d.process(fmt.Sprint("control-", n), ip, ports)
		p.API, p.Data = ip+":"+ports["api"], filepath.Join(d.Dir, p.Name)
		p.Settings = p.head(ip, ports, "control") + fmt.Sprintf(`data: %q
control:
  links: "%s:%s"
  api: %q
  discovery:
    seeds: [%s]
    found: FOUND
    tolerate: %d
  engines: {prefill_share: 0.33, order_lease: 3000ms}
`, p.Data, ip, ports["links"], p.API, list, tolerate)
		d.Controls = append(d.Controls, p)
	}
	for n := range gateways {
		ip := fmt.Sprintf("127.0.0.%d", n+2+controls)
		p := d.process(fmt.Sprint("gateway-", n), ip, ports)
		p.Callers, p.Ready = ip+":"+ports["callers"], ip+":"+ports["ready"]
		p.Settings = p.head(ip, ports, "gateway") + fmt.Sprintf(`gateway:
  callers: %q
  ready: %q
  links_port: %s
  seeds: [%s]
  retry: {ratio: 0.2, slack: 54, window: 10s}
`, p.Callers, p.Ready, ports["links"], list)
		d.Gateways = append(d.Gateways, p)
	}
	return nil
}

func (d *Deployment) process(name, ip string, ports map[string]string) *Process {
	return &Process{Name: name, d: d, Operators: ip + ":" + ports["operators"], file: filepath.Join(d.Dir, name+".yaml")}
}

func (p *Process) head(ip string, ports map[string]string, role string) string {
	return fmt.Sprintf(`name: %q
zone: "z"
zones: {"z": "r"}
roles: [%s]
operators: %q
metrics: "%s:%s"
drain: 8s
memory: 280MB
log: {level: info, format: json}
tokens: {trusted_network: true}
`, p.Name, role, p.Operators, ip, ports["metrics"])
}

// Start starts the process. found tells whether the whole system starts for the first time.
func (p *Process) Start(found bool) error {
	text := strings.ReplaceAll(p.Settings, "FOUND", fmt.Sprint(found))
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		return err
	}
	if p.log == nil {
		out, err := os.Create(filepath.Join(p.d.Dir, p.Name+".log"))
		if err != nil {
			return err
		}
		p.log = out
	}
	p.cmd = exec.Command(p.d.binary, "run", "--config", p.file)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	return p.cmd.Start()
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.ProcessState == nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	if p.cmd != nil && p.cmd.ProcessState == nil {
		p.Signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
	}
}

// client is the HTTP client of operators. Like theirs, its calls take a second at most.
var client = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// Call sends a call and returns the status and the body of its answer.
func Call(method, url, body string) (int, string, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// Put sends a configuration to the replicas in turn until one acknowledges it, for at most some time. It
// reports whether one did.
func (d *Deployment) Put(version int, text string, limit time.Duration) bool {
	for end := clock.VM.Now().Add(limit); clock.VM.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, p := range d.Controls {
			status, _, err := Call(http.MethodPost, "http://"+p.API+"/-/config/put", text)
			if err == nil && status == http.StatusOK {
				d.Note("operator: version %d sent to %s: acknowledged with 200", version, p.Name)
				return true
			}
		}
	}
	d.Note("operator: version %d was not acknowledged within %v", version, limit)
	return false
}

// Version asks a replica for the configuration and returns the version that it answers, or 0 with the
// status if it answers none.
func (p *Process) Version() (version, status int) {
	status, body, err := Call(http.MethodGet, "http://"+p.API+"/-/config/get", "")
	if err != nil || status != http.StatusOK {
		return 0, status
	}
	var t struct {
		Version int `json:"version"`
	}
	_ = json.Unmarshal([]byte(body), &t)
	return t.Version, status
}

// Log is what a replica tells operators about its part in the group.
type Log struct {
	ID  string `json:"id"`
	Log struct {
		Role    string `json:"role"`
		Term    uint64 `json:"term"`
		Last    uint64 `json:"last"`
		Commit  uint64 `json:"commit"`
		Lease   bool   `json:"lease"`
		Members struct {
			Voters []string `json:"voters"`
		} `json:"members"`
	} `json:"log"`
}

// Status returns what a replica tells operators; false if it does not answer.
func (p *Process) Status() (Log, bool) {
	status, body, err := Call(http.MethodGet, "http://"+p.Operators+"/v1/dump", "")
	var roles map[string]json.RawMessage
	if err != nil || status != http.StatusOK || json.Unmarshal([]byte(body), &roles) != nil {
		return Log{}, false
	}
	var out Log
	return out, json.Unmarshal(roles["control"], &out) == nil
}

// Leader returns the leader and the number of voters that it has; nil if none leads.
func (d *Deployment) Leader() (leader *Process, voters int) {
	for _, p := range d.Controls {
		if s, ok := p.Status(); ok && s.Log.Lease {
			return p, len(s.Log.Members.Voters)
		}
	}
	return nil, 0
}

// WaitVoters waits until a leader has a number of voters.
func (d *Deployment) WaitVoters(want int, limit time.Duration) (*Process, error) {
	for end := clock.VM.Now().Add(limit); clock.VM.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if leader, voters := d.Leader(); leader != nil && voters == want {
			return leader, nil
		}
	}
	return nil, fmt.Errorf("no leader with %d voters within %v", want, limit)
}
