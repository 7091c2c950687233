package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowReaders has callers ask for large answers of a plain service and read nothing of them.
func (r *rig) slowReaders(t testing.TB, n, answer int) []net.Conn {
	t.Helper()
	body := strings.Repeat("x", answer)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(protocol.Headers.RequestID, r.Header.Get(protocol.Headers.RequestID))
		w.Header().Set(protocol.Headers.Signature, "s")
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	r.tell("plain", "large", strings.TrimPrefix(server.URL, "http://"), "")
	r.allowTime("rates", time.Minute)
	r.allowConnections("plain", 4*n)
	conns := make([]net.Conn, n)
	for i := range conns {
		c, err := net.Dial("tcp", r.front.Listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
		_, err = fmt.Fprintf(c, "GET /rates/%d HTTP/1.1\r\nHost: h\r\n%s: slow%d\r\n\r\n", i, protocol.Headers.RequestID, i)
		assert.NilError(t, err)
		conns[i] = c
	}
	return conns
}

// BenchmarkSlowReaders measures the memory of a gateway whose callers read nothing of large
// answers.
func BenchmarkSlowReaders(b *testing.B) {
	const readers, answer = 500, 1 << 20
	for range b.N {
		r := newRig(b)
		process, kernel := heap(), buffered(b)
		r.slowReaders(b, readers, answer)
		time.Sleep(callerTimeout / 2)
		b.ReportMetric(float64(heap()-process)/1e6, "MB-process")
		b.ReportMetric(float64(buffered(b)-kernel)/1e6, "MB-kernel")
		r.front.CloseClientConnections()
	}
}

// heap returns the bytes in use after a collection.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}

// buffered returns the bytes that the kernel keeps for all connections of the VM.
func buffered(t testing.TB) int64 {
	t.Helper()
	stat, err := os.ReadFile("/proc/net/sockstat")
	assert.NilError(t, err)
	for line := range strings.Lines(string(stat)) {
		if _, pages, ok := strings.Cut(line, " mem "); ok && strings.HasPrefix(line, "TCP:") {
			n, err := strconv.ParseInt(strings.TrimSpace(pages), 10, 64)
			assert.NilError(t, err)
			return n * int64(os.Getpagesize())
		}
	}
	t.Fatal("no TCP line")
	return 0
}
