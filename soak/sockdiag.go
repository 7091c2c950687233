package soak

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

// Sizes and offsets of the kernel's messages about sockets (linux/inet_diag.h), in bytes.
const (
	diagRequestBytes = 56
	diagInodeOffset  = 68
	diagMessageBytes = 72
)

// errNoSocket means that the kernel knows no socket of a connection.
var errNoSocket = errors.New("soak: no such socket")

// socketInode returns the inode of the socket of a connection at its local end. It asks the kernel for
// this one: the table in /proc/net/tcp takes half a second to read where thousands of connections have
// just closed.
func socketInode(local, remote *net.TCPAddr) (uint32, error) {
	localIP, remoteIP := local.IP.To4(), remote.IP.To4()
	if localIP == nil || remoteIP == nil {
		return 0, fmt.Errorf("soak: %v and %v are no IPv4 addresses", local, remote)
	}
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return 0, fmt.Errorf("soak: socket for questions about sockets: %w", err)
	}
	defer func() { _ = unix.Close(fd) }()
	request := make([]byte, unix.NLMSG_HDRLEN+diagRequestBytes)
	native := binary.NativeEndian
	native.PutUint32(request, uint32(len(request)))
	native.PutUint16(request[4:], unix.SOCK_DIAG_BY_FAMILY)
	native.PutUint16(request[6:], unix.NLM_F_REQUEST)
	body := request[unix.NLMSG_HDRLEN:]
	body[0], body[1] = unix.AF_INET, unix.IPPROTO_TCP
	native.PutUint32(body[4:], ^uint32(0)) // in any state
	id := body[8:]
	binary.BigEndian.PutUint16(id, uint16(local.Port))
	binary.BigEndian.PutUint16(id[2:], uint16(remote.Port))
	copy(id[4:], localIP)
	copy(id[20:], remoteIP)
	native.PutUint64(id[40:], ^uint64(0)) // no cookie
	if err := unix.Sendto(fd, request, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, fmt.Errorf("soak: question about a socket: %w", err)
	}
	answer := make([]byte, 4096)
	n, _, err := unix.Recvfrom(fd, answer, 0)
	if err != nil {
		return 0, fmt.Errorf("soak: answer about a socket: %w", err)
	}
	if n < unix.NLMSG_HDRLEN+diagMessageBytes || native.Uint16(answer[4:]) != unix.SOCK_DIAG_BY_FAMILY {
		return 0, errNoSocket
	}
	inode := native.Uint32(answer[unix.NLMSG_HDRLEN+diagInodeOffset:])
	if inode == 0 {
		return 0, errNoSocket // it is closed
	}
	return inode, nil
}
