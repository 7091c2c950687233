// Package cluster starts control replicas and gateways of a small deployment as separate
// processes on loopback addresses, for the cases of a review.
package cluster

import (
	"bytes"
	"context"
	"errors"
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

// Size is the number of processes of each role.
type Size struct{ Controls, Gateways int }

// Cluster is a running deployment.
type Cluster struct {
	// Dir is its temporary folder.
	Dir string
	// Controls are the addresses of the replicas' API, Callers those of the gateways for callers.
	Controls, Callers []string
	ready             []string
	processes         map[string]*Process
	order             []string
	stop              chan struct{}
	wg                sync.WaitGroup
}

// Process is one process of the deployment.
type Process struct {
	file string
	log  *os.File
	cmd  *exec.Cmd
	done chan struct{}
}

// binary is the program as the deploy file builds it, in the root of the repository.
const binary = "target/ledgepin"

// freePort returns a port that is free on all loopback addresses used here.
func freePort() (string, error) {
	ln, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	_, port, err := net.SplitHostPort(ln.Addr().String())
	return port, err
}

// Start starts the processes of a deployment and waits for nothing.
func Start(size Size) (*Cluster, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &Cluster{Dir: dir, processes: map[string]*Process{}, stop: make(chan struct{})}
	if err := c.start(size); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(size Size) error {
	var ports [6]string
	for i := range ports {
		var err error
		if ports[i], err = freePort(); err != nil {
			return err
		}
	}
	links, api, callers, ready, operators, metrics := ports[0], ports[1], ports[2], ports[3], ports[4], ports[5]
	var seeds []string
	for n := range size.Controls {
		c.Controls = append(c.Controls, fmt.Sprintf("127.0.0.%d:%s", n+2, api))
		if n < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", c.Controls[n]))
		}
	}
	list := strings.Join(seeds, ",")
	for n := range size.Controls {
		name, ip := fmt.Sprint("control-", n), fmt.Sprintf("127.0.0.%d", n+2)
		text := fmt.Sprintf(`data: %q
memory: 280MB
control:
  links: "%s:%s"
  api: %q
  discovery: {seeds: [%s], found: true, tolerate: %d}
  engines: {prefill_share: 0.33, order_lease: 3000ms}
`, filepath.Join(c.Dir, name), ip, links, c.Controls[n], list, (size.Controls-1)/2)
		if err := c.add(name, ip, "control", operators, metrics, text); err != nil {
			return err
		}
	}
	for n := range size.Gateways {
		name, ip := fmt.Sprint("gateway-", n), fmt.Sprintf("127.0.0.%d", n+20)
		c.Callers = append(c.Callers, ip+":"+callers)
		c.ready = append(c.ready, ip+":"+ready)
		text := fmt.Sprintf(`memory: 134MB
gateway:
  callers: "%s:%s"
  ready: "%s:%s"
  links_port: %s
  seeds: [%s]
  retry: {ratio: 0.2, slack: 56, window: 10s}
`, ip, callers, ip, ready, links, list)
		if err := c.add(name, ip, "gateway", operators, metrics, text); err != nil {
			return err
		}
	}
	for _, name := range c.order {
		if err := c.StartProcess(name); err != nil {
			return err
		}
	}
	return nil
}

// add writes the settings of a process, in the form of deploy/settings.yaml.
func (c *Cluster) add(name, ip, role, operators, metrics, text string) error {
	p := &Process{file: filepath.Join(c.Dir, name+".yaml")}
	head := fmt.Sprintf(`name: %q
zone: "z"
zones: {"z":"r"}
roles: [%s]
operators: "%s:%s"
metrics: "%s:%s"
drain: 8s
log: {level: info, format: json}
tokens: {trusted_network: true}
`, name, role, ip, operators, ip, metrics)
	var err error
	if p.log, err = os.Create(filepath.Join(c.Dir, name+".log")); err != nil {
		return err
	}
	c.processes[name] = p
	c.order = append(c.order, name)
	return os.WriteFile(p.file, []byte(head+text), 0o600)
}

// StartProcess starts a process with the command of the deploy file.
func (c *Cluster) StartProcess(name string) error {
	p := c.processes[name]
	p.cmd = exec.Command(binary, "run")
	p.cmd.Env = append(os.Environ(), "LEDGEPIN_CONFIG="+p.file)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	return nil
}

// Signal sends a signal to a process.
func (c *Cluster) Signal(name string, s syscall.Signal) error {
	return c.processes[name].cmd.Process.Signal(s)
}

// Kill ends a process at once and waits for its end.
func (c *Cluster) Kill(name string) {
	p := c.processes[name]
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Ended reports whether a process has ended.
func (c *Cluster) Ended(name string) bool {
	select {
	case <-c.processes[name].done:
		return true
	default:
		return false
	}
}

// Log returns what a process has written so far.
func (c *Cluster) Log(name string) string {
	data, _ := os.ReadFile(filepath.Join(c.Dir, name+".log"))
	return string(data)
}

// Close ends all processes and heartbeats and removes the folder.
func (c *Cluster) Close() {
	close(c.stop)
	c.wg.Wait()
	for _, name := range c.order {
		if p := c.processes[name]; p.cmd != nil {
			c.Kill(name)
		}
		_ = c.processes[name].log.Close()
	}
	_ = os.RemoveAll(c.Dir)
}

// Call sends a call and returns the status and the body of its answer.
func Call(method, url string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

var errTimeout = errors.New("cluster: not in time")

// Await waits until ok returns true, for limit at most.
func Await(limit time.Duration, ok func() bool) error {
	for end := clock.VM.Now().Add(limit); clock.VM.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return errTimeout
}

// Put sends a configuration to the replicas in turn until one acknowledges it.
func (c *Cluster) Put(document string) error {
	return Await(20*time.Second, func() bool {
		for _, api := range c.Controls {
			if status, _, err := Call(http.MethodPost, "http://"+api+"/-/config/put", []byte(document)); err == nil && status == http.StatusOK {
				return true
			}
		}
		return false
	})
}

// AwaitReady waits until all gateways call themselves ready.
func (c *Cluster) AwaitReady() error {
	return Await(20*time.Second, func() bool {
		for _, address := range c.ready {
			if status, _, err := Call(http.MethodGet, "http://"+address+"/-/ready", nil); err != nil || status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// Server is what a server reports about itself.
type Server struct{ ID, Service, Address, Stage string }

// Report sends the heartbeats of a server to the replicas until the cluster is closed or stop is.
func (c *Cluster) Report(s Server, stop <-chan struct{}) {
	c.wg.Go(func() {
		for sequence := 1; ; sequence++ {
			c.heartbeat(s, sequence)
			select {
			case <-c.stop:
				return
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
	})
}

// heartbeat sends one heartbeat to the replicas in turn until one acknowledges it.
func (c *Cluster) heartbeat(s Server, sequence int) {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"stage":%q,"models":[],"sequence":%d}`,
		s.Service, s.Address, s.Stage, sequence)
	for _, api := range c.Controls {
		if status, _, err := Call(http.MethodPost, "http://"+api+"/-/instances/"+s.ID+"/heartbeat", []byte(body)); err == nil && status == http.StatusOK {
			return
		}
	}
}
