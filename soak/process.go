package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// process is one process of the system. It is started, signalled and ended by
// its own ID only.
type process struct {
	name     string
	binary   string
	settings string
	logPath  string

	// life is held by the step of a plan that ends and starts the process.
	life sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	// wanted tells that the end of the process is asked for.
	wanted      bool
	incarnation int
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
	cmd := exec.Command(p.binary, "run", "--config", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this one, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("soak: %s: %w", p.name, err)
	}
	p.cmd, p.wanted, p.ended = cmd, false, make(chan struct{})
	p.incarnation++
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

// number returns how often the process has been started.
func (p *process) number() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// newProcess writes the settings of a process into a folder.
func newProcess(binary, dir, name, settings string) (*process, error) {
	p := &process{name: name, binary: binary, settings: filepath.Join(dir, name+".yaml"), logPath: filepath.Join(dir, name+".log")}
	return p, os.WriteFile(p.settings, []byte(settings), 0o600)
}
