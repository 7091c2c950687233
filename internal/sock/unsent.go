package sock

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// LimitUnsent has writes to a connection wait while the kernel keeps as many bytes that were not
// sent yet. What is on its way counts besides, so that a fast connection is as fast as before.
func LimitUnsent(c net.Conn, bytes int) {
	if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok { // TLS
		c = wrapper.NetConn()
	}
	raw, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return // closed already
	}
	_ = control.Control(func(fd uintptr) {
		// A help and no promise: a kernel without the option keeps some megabytes.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
	})
}
