package sock

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// LimitUnsent makes writes to c block while the kernel buffers that many bytes that were not
// sent yet. Bytes in flight don't count, so fast connections aren't slowed down.
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
		return // already closed
	}
	_ = control.Control(func(fd uintptr) {
		// An error is ignored: a kernel without the option buffers some megabytes.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
	})
}
