// Package freeport allocates loopback addresses for tests that must know an address
// before anything listens on it.
//
// A port that the kernel chose for a listener that was closed again may be taken by an
// outgoing connection before the test uses it. The ports here lie below the range of
// outgoing connections. Each test process locks whole blocks of ports until it ends: the
// tests of several packages run concurrently, and one that restarts a server at its address
// must not find the server of another test there.
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
	// firstPort is the lowest port, portCount the number of ports, and blockSize the number
	// of ports that a process locks at a time.
	firstPort = 20000
	portCount = 12000
	blockSize = 100
)

// ports allocates the ports of the blocks that it has locked.
type ports struct {
	mu sync.Mutex
	// locks are the lock files of its blocks; they stay open, and locked, until the process
	// ends.
	locks []*os.File
	// next is the next port of the newest block, end the port after its last one.
	next, end int
}

var processPorts ports

// Addr returns an address that nothing listens on. It returns each address once, also among
// processes that run at the same time.
func Addr(t testing.TB) string {
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
			continue // used by a process that doesn't allocate its ports here
		}
		_ = ln.Close()
		return addr, nil
	}
	return "", errNoPort
}

// lockBlock locks a block that no process has locked.
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
			_ = f.Close() // locked by another process
			continue
		}
		p.locks = append(p.locks, f)
		p.next, p.end = firstPort+n*blockSize, firstPort+(n+1)*blockSize
		return nil
	}
	return errNoPort
}
