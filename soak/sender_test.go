package soak

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSenderIsFoundByItsConnection checks that the process that has opened a connection through a
// proxy is told apart from others by the address that the server sees, even if another connection
// has the same local address.
func TestSenderIsFoundByItsConnection(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()
	p, err := newProxy(server.Addr().String(), func(string) {})
	assert.NilError(t, err)
	defer p.close()
	reuse := func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) })
	}
	elsewhere, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer elsewhere.Close()
	other, err := (&net.Dialer{Control: reuse, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}).Dial("tcp", elsewhere.Addr().String())
	assert.NilError(t, err)
	defer other.Close()
	client, err := (&net.Dialer{Control: reuse, LocalAddr: other.LocalAddr()}).Dial("tcp", p.addr())
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
	inode, err := socketInode(from, p.tcpAddr())
	assert.NilError(t, err)
	otherInode, err := socketInode(from, elsewhere.Addr().(*net.TCPAddr))
	assert.NilError(t, err)
	assert.Assert(t, inode != otherInode)
	link := fmt.Sprintf("socket:[%d]", inode)
	assert.Assert(t, hasOpen(os.Getpid(), link))
	assert.Assert(t, !hasOpen(os.Getppid(), link))
	_, err = socketInode(from, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1})
	assert.ErrorIs(t, err, errNoSocket)
	assert.Assert(t, p.client("127.0.0.1:1") == nil)
}
