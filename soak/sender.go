package soak

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// Calls of the gateways themselves carry no request ID. So that rules about calls can take their
// gateway into account, it is found by the connection, which is open while a server handles the call.

// sender returns the name of the gateway that a connection to a server comes from, by the remote
// address that the server sees, or an empty string if that is not known.
func (cl *cluster) sender(p *proxy, remote string) string {
	client := p.client(remote)
	if client == nil {
		return ""
	}
	for range senderTries {
		socket, err := socketLink("/proc/net/tcp", client)
		if err != nil {
			continue
		}
		for n := range cl.shape.Gateways {
			name := gatewayName(n)
			if pid := cl.processes[name].pid(); pid != 0 && hasOpen(pid, socket) {
				return name
			}
		}
	}
	return ""
}

// senderTries is how often the sender is searched for: the kernel may leave out sockets of a table
// that changes while it is read.
const senderTries = 3

// socketLink returns the target of the links in /proc/PID/fd for the socket with a local address, by
// a table like /proc/net/tcp.
func socketLink(table string, local *net.TCPAddr) (string, error) {
	ip := local.IP.To4()
	if ip == nil {
		return "", fmt.Errorf("soak: %v is no IPv4 address", local)
	}
	f, err := os.Open(table)
	if err != nil {
		return "", err
	}
	defer f.Close()
	const localField, inodeField = 1, 9
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], local.Port)
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > inodeField && fields[localField] == want {
			return "socket:[" + fields[inodeField] + "]", nil
		}
	}
	return "", fmt.Errorf("soak: no socket with the address %v", local)
}

// hasOpen reports whether a process has a file open.
func hasOpen(pid int, link string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	files, _ := os.ReadDir(dir)
	for _, f := range files {
		if target, err := os.Readlink(filepath.Join(dir, f.Name())); err == nil && target == link {
			return true
		}
	}
	return false
}
