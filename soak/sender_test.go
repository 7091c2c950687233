package soak

import (
	"net"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSenderIsFoundByItsConnection checks that the process that has opened a connection through a
// proxy is told apart from others by the address that the server sees.
func TestSenderIsFoundByItsConnection(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()
	p, err := newProxy(server.Addr().String(), func(string) {})
	assert.NilError(t, err)
	defer p.close()
	client, err := net.Dial("tcp", p.addr())
	assert.NilError(t, err)
	defer client.Close()
	accepted, err := server.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	_, err = client.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = accepted.Read(make([]byte, 1)) // from now on the proxy knows both connections
	assert.NilError(t, err)

	from := p.client(accepted.RemoteAddr().String())
	assert.Equal(t, from.String(), client.LocalAddr().String())
	socket, err := socketLink("/proc/net/tcp", from)
	assert.NilError(t, err)
	assert.Assert(t, hasOpen(os.Getpid(), socket))
	assert.Assert(t, !hasOpen(os.Getppid(), socket))
	assert.Assert(t, p.client("127.0.0.1:1") == nil)
}
