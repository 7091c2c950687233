package soak

import (
	"fmt"
	"os"
	"path/filepath"
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
	inode, err := socketInode(client, p.tcpAddr())
	if err != nil {
		return ""
	}
	link := fmt.Sprintf("socket:[%d]", inode) // as in /proc/PID/fd
	for n := range cl.shape.Gateways {
		name := gatewayName(n)
		if pid := cl.processes[name].pid(); pid != 0 && hasOpen(pid, link) {
			return name
		}
	}
	return ""
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
