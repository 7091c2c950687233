// Package freeport finds loopback addresses for tests that must know an address
// before somebody listens on it.
//
// Asking the kernel for any port and closing it again gives a port that an
// outgoing connection may take before it is used. The ports here lie below the
// range that outgoing connections are given.
package freeport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

const (
	first = 20000
	count = 12000
)

var next atomic.Uint32

// Addr returns an address that nobody listens on. Processes begin at different
// places, and no address is given twice.
func Addr(t *testing.T) string {
	t.Helper()
	begin := uint32(os.Getpid()) * 131
	for range count {
		addr := fmt.Sprintf("127.0.0.1:%d", first+(begin+next.Add(1))%count)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return addr
	}
	t.Fatal("no free port")
	return ""
}
