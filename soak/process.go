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
	productionBuild build = iota
	treeBuild
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
	lifeMu sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	done chan struct{}
	// wanted tells that the end of the process is asked for.
	endRequested bool
	incarnation  int
	build        build
	started      time.Time
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

// end asks the process to end, by a signal, and waits until it has.
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

// kill kills the process and does not wait; it returns how often it had been started.
func (p *process) kill() int {
	p.mu.Lock()
	p.endRequested = true
	n := p.incarnation
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	return n
}

// number returns how often the process has been started.
func (p *process) incarnations() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// state returns the number of the present start, its time, and whether the process runs.
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

// use has the next start be of a build.
func (p *process) setBuild(b build) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.build = b
}

// runsOn returns the build of the process.
func (p *process) currentBuild() build {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.build
}

// newProcess writes the settings of a process into a folder, for each build its own.
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
