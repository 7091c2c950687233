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

// build selects one of two builds for a process.
type build int

const (
	productionBuild build = iota
	treeBuild
)

// program is a binary with a settings file.
type program struct{ binary, settings string }

// process is a ledgepin process. It is started, signalled and ended by its own ID only.
type process struct {
	name string
	// builds are the production build and the tree's build, each with settings that it can read.
	builds  [2]program
	logPath string
	// operators is the address of the process's listener for operators.
	operators string

	// restartMu is held by the step of a plan that ends and starts the process.
	restartMu sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
	// endRequested reports that the end of the process was requested.
	endRequested bool
	incarnation  int
	build        build
	started      time.Time
	// onExit is called when a process ends unexpectedly.
	onExit func(name string, err error)
}

// pid returns the ID of the running process; zero if there is none.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// start starts the process and appends its output to the log file.
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
	// The process ends with the soak, even if the soak is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("soak: %s: %w", p.name, err)
	}
	p.cmd, p.endRequested, p.done = cmd, false, make(chan struct{})
	p.incarnation++
	p.started = time.Now()
	go p.wait(cmd, log, p.done)
	return nil
}

func (p *process) wait(cmd *exec.Cmd, log *os.File, done chan struct{}) {
	err := cmd.Wait()
	_ = log.Close()
	p.mu.Lock()
	unexpected := !p.endRequested && p.cmd == cmd
	p.mu.Unlock()
	close(done)
	if unexpected && p.onExit != nil {
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

// stop sends the process a signal that ends it, and waits for its end.
func (p *process) stop(s syscall.Signal) {
	p.mu.Lock()
	p.endRequested = true
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return
	}
	p.signal(s)
	<-done
}

// kill kills the process without waiting. It returns how often the process had been started.
func (p *process) kill() int {
	p.mu.Lock()
	p.endRequested = true
	n := p.incarnation
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	return n
}

// incarnations returns how often the process has been started.
func (p *process) incarnations() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// state returns the number of the current incarnation, its start time, and whether the process
// runs.
func (p *process) state() (incarnation int, started time.Time, running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done != nil {
		select {
		case <-p.done:
		default:
			running = true
		}
	}
	return p.incarnation, p.started, running
}

// setBuild sets the build of the next incarnation.
func (p *process) setBuild(b build) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.build = b
}

// currentBuild returns the build of the process.
func (p *process) currentBuild() build {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.build
}

// createProcess writes the settings of a process for each build into a folder.
func createProcess(binaries [2]string, dir, name string, settings [2]string) (*process, error) {
	p := &process{name: name, logPath: filepath.Join(dir, name+".log")}
	for b, file := range []string{name + ".production.yaml", name + ".yaml"} {
		p.builds[b] = program{binaries[b], filepath.Join(dir, file)}
		if err := os.WriteFile(p.builds[b].settings, []byte(settings[b]), 0o600); err != nil {
			return nil, err
		}
	}
	return p, nil
}
