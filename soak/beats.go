package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// beats reports all servers until the context ends.
func (s *site) beats(ctx context.Context) {
	t := time.NewTicker(300 * time.Millisecond)
	defer t.Stop()
	for {
		for _, v := range s.servers {
			v.mu.Lock()
			leaving := v.leaving
			v.mu.Unlock()
			if !leaving {
				s.report(ctx, v, "ready")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// report tells control of a server, at any replica that takes it.
func (s *site) report(ctx context.Context, v *server, state string) bool {
	text := s.heartbeatOf(v, state)
	for n := range s.api {
		if s.say(ctx, n, v.name, text) == http.StatusOK {
			return true
		}
	}
	return false
}

// heartbeatOf is what the present start of a server says of itself.
func (s *site) heartbeatOf(v *server, state string) string {
	b, p := v.now()
	v.mu.Lock()
	born := v.born
	v.mu.Unlock()
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","coldRemainingMs":%d,"slots":%d,"state":%q,"stage":%q,"sequence":%d,"born":%d}`,
		v.service, p.addr(), v.zone, v.coldLeft(), engineSlots, state, b.CurrentRole(), s.sequence.Add(1), born)
}

// say sends a report about a server to a replica, and returns the status of the answer; zero
// if none came.
func (s *site) say(ctx context.Context, replica int, name, text string) int {
	status, _, err := s.call(ctx, http.MethodPost, "http://"+s.api[replica]+"/-/instances/"+name+"/heartbeat", text)
	if err != nil {
		return 0
	}
	return status
}
