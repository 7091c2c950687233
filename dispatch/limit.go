package dispatch

import (
	"time"

	"github.com/ledgepin/ledgepin/ratelimit"
)

// limit is what a gateway knows of the limit that a server names.
type limit struct {
	ratelimit.Limit
	// sent counts the requests of this gateway that went to the server while it held.
	sent int
}

// LimitChange is a change of what a server takes.
type LimitChange struct {
	Server Server
	Word   ratelimit.Word
	// Sent counts the requests that went there while the limit before it held.
	Sent int
}

// NoteLimit takes what a server says of its limit. It returns false if that changes nothing.
func (f *Fleet) NoteLimit(now time.Time, id string, w ratelimit.Word) (LimitChange, bool) {
	s := f.servers[id]
	if s == nil || !s.limit.Take(now, w) {
		return LimitChange{}, false
	}
	out := LimitChange{Server: *s, Word: s.limit.Word(), Sent: s.limit.sent}
	s.limit.sent = 0
	return out, true
}

// IsLimited tells whether a server names a limit, or did until just before.
func (f *Fleet) IsLimited(now time.Time, s *Server) bool {
	_, limited := s.limit.Rate(now)
	return limited
}

// CountLimited counts a request that goes to a server; false if that names no limit.
func (f *Fleet) CountLimited(now time.Time, s *Server) bool {
	if !f.IsLimited(now, s) {
		return false
	}
	s.limit.sent++
	return true
}

// Limited returns the number of servers that name a limit.
func (f *Fleet) Limited() int {
	n := 0
	for _, s := range f.servers {
		if s.limit.Word().Named && !s.gone {
			n++
		}
	}
	return n
}
