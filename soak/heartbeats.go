package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// sendHeartbeats sends the heartbeats of all servers until the context ends.
func (cl *cluster) sendHeartbeats(ctx context.Context) {
	t := time.NewTicker(300 * time.Millisecond)
	defer t.Stop()
	for {
		for _, srv := range cl.servers {
			srv.mu.Lock()
			leaving := srv.leaving
			srv.mu.Unlock()
			if !leaving {
				cl.reportServer(ctx, srv, "ready")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// reportServer sends a report about a server to the replicas of control until one accepts it.
func (cl *cluster) reportServer(ctx context.Context, srv *server, state string) bool {
	text := cl.heartbeatBody(srv, state)
	for n := range cl.apiAddresses {
		if cl.postHeartbeat(ctx, n, srv.name, text) == http.StatusOK {
			return true
		}
	}
	return false
}

// heartbeatBody returns the report of the current incarnation of a server.
func (cl *cluster) heartbeatBody(srv *server, state string) string {
	b, p := srv.current()
	srv.mu.Lock()
	startMillis, version := srv.startMillis, srv.version
	srv.mu.Unlock()
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"coldRemainingMs":%d,"slots":%d,"state":%q,"stage":%q,"sequence":%d,"born":%d}`,
		srv.service, p.addr(), srv.zone, version, srv.coldRemaining(), engineSlots, state, b.CurrentRole(), cl.sequence.Add(1), startMillis)
}

// postHeartbeat sends a report about a server to a replica, and returns the status of the answer,
// or zero if there was none.
func (cl *cluster) postHeartbeat(ctx context.Context, replica int, name, text string) int {
	return cl.postReport(ctx, replica, name+"/heartbeat", text)
}

// postReport sends a server's call to a replica: its path, after that of all servers, begins with the
// server's name. It returns the status of the answer, or zero if there was none.
func (cl *cluster) postReport(ctx context.Context, replica int, path, text string) int {
	status, _, err := cl.call(ctx, http.MethodPost, "http://"+cl.apiAddresses[replica]+"/-/instances/"+path, text)
	if err != nil {
		return 0
	}
	return status
}
