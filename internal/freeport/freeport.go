// Package freeport finds loopback addresses for tests that must know an address
// before somebody listens on it.
//
// Asking the kernel for any port and closing it again gives a port that an
// outgoing connection may take before it is used. The ports here lie below the
// range that outgoing connections are given. They are given out in blocks, each of
// which one process has for itself until it ends: the tests of several packages run
// beside each other, and one that stops a server and starts it again at its address
// must not find another's there.
package freeport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
)

const (
	// first is the first port, count the number of ports, and block that of the ports
	// that a process takes at a time.
	firstPort = 20000
	portCount = 12000
	blockSize = 100
)

// ports gives out the ports of the blocks that it has locked.
type ports struct {
	mu sync.Mutex
	// locks are the files of the blocks that are its own; they stay open, and locked,
	// until the process ends.
	locks []*os.File
	// next is the next port of the newest block, end the one after its last.
	next, end int
}

var processPorts ports

// Addr returns an address that nobody listens on. No address is given twice, nor by two
// processes that run at the same time.
func Addr(t *testing.T) string {
	t.Helper()
	addr, err := processPorts.addr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

var errNoPort = errors.New("freeport: no free port")

func (p *ports) addr() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range portCount {
		if p.next == p.end {
			if err := p.lockBlock(); err != nil {
				return "", err
			}
		}
		addr := fmt.Sprintf("127.0.0.1:%d", p.next)
		p.next++
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue // somebody who does not ask here has it
		}
		_ = ln.Close()
		return addr, nil
	}
	return "", errNoPort
}

// lockBlock takes a block that no process has.
func (p *ports) lockBlock() error {
	dir := filepath.Join(os.TempDir(), "ledgepin-test-ports")
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return err
	}
	for n := range portCount / blockSize {
		f, err := os.OpenFile(filepath.Join(dir, fmt.Sprint(n)), os.O_RDWR|os.O_CREATE, 0o666)
		if err != nil {
			return err
		}
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
			_ = f.Close() // another process has it
			continue
		}
		p.locks = append(p.locks, f)
		p.next, p.end = firstPort+n*blockSize, firstPort+(n+1)*blockSize
		return nil
	}
	return errNoPort
}
