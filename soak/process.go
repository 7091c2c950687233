package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// build says which of two builds a process runs.
type build int

const (
	production build = iota
	tree
)

// program is a binary with a file of settings for it.
type program struct{ binary, settings string }

// process is one process of the system. It is started, signalled and ended by
// its own ID only.
type process struct {
	name string
	// builds are the production build and the tree's, each with settings that it can read.
	builds  [2]program
	logPath string
	// operators is the address of its operators' listener.
	operators string

	// life is held by the step of a plan that ends and starts the process.
	life sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	// wanted tells that the end of the process is asked for.
	wanted      bool
	incarnation int
	build       build
	started     time.Time
	// onExit is told when a process ends that was not asked to.
	onExit func(name string, err error)
}

// start runs the process, with its log appended to a file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	run := p.builds[p.build]
	cmd := exec.Command(run.binary, "run", "--config", run.settings)
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this one, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("soak: %s: %w", p.name, err)
	}
	p.cmd, p.wanted, p.ended = cmd, false, make(chan struct{})
	p.incarnation++
	p.started = time.Now()
	go p.wait(cmd, log, p.ended)
	return nil
}

func (p *process) wait(cmd *exec.Cmd, log *os.File, ended chan struct{}) {
	err := cmd.Wait()
	_ = log.Close()
	p.mu.Lock()
	unasked := !p.wanted && p.cmd == cmd
	p.mu.Unlock()
	close(ended)
	if unasked && p.onExit != nil {
		p.onExit(p.name, err)
	}
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// end asks the process to end, by a signal, and waits until it has.
func (p *process) end(s syscall.Signal) {
	p.mu.Lock()
	p.wanted = true
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return
	}
	p.signal(s)
	<-ended
}

// kill kills the process and does not wait; it returns how often it had been started.
func (p *process) kill() int {
	p.mu.Lock()
	p.wanted = true
	n := p.incarnation
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	return n
}

// number returns how often the process has been started.
func (p *process) number() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// state returns the number of the present start, its time, and whether the process runs.
func (p *process) state() (incarnation int, started time.Time, runs bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended != nil {
		select {
		case <-p.ended:
		default:
			runs = true
		}
	}
	return p.incarnation, p.started, runs
}

// use has the next start be of a build.
func (p *process) use(b build) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.build = b
}

// runsOn returns the build of the process.
func (p *process) runsOn() build {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.build
}

// newProcess writes the settings of a process into a folder, for each build its own.
func newProcess(binaries [2]string, dir, name string, settings [2]string) (*process, error) {
	p := &process{name: name, logPath: filepath.Join(dir, name+".log")}
	for b, file := range []string{name + ".production.yaml", name + ".yaml"} {
		p.builds[b] = program{binaries[b], filepath.Join(dir, file)}
		if err := os.WriteFile(p.builds[b].settings, []byte(settings[b]), 0o600); err != nil {
			return nil, err
		}
	}
	return p, nil
}
