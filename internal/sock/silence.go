package sock

import (
	"time"

	"golang.org/x/sys/unix"
)

// The kernel's user timeout ends a connection whose peer reads nothing for that time, though the peer
// acknowledges that it has no room. A server may answer before it reads a long body and go on reading
// later, so a long write is watched for silence instead: for segments that the peer doesn't
// acknowledge at all.

// checksPerSilence is how often a watched connection is checked within the time after which its peer
// counts as dead.
const checksPerSilence = 6

// watch replaces the kernel's user timeout until all that was written is acknowledged. If the kernel
// doesn't report the state of the connection, its user timeout stays.
func (c *Conn) watch() {
	defer c.watched.Store(false)
	if _, err := c.info(); err != nil {
		return
	}
	c.setUserTimeout(0)
	defer c.setUserTimeout(c.silence)
	var s silence
	t := time.NewTicker(c.silence / checksPerSilence)
	defer t.Stop()
	for {
		now := <-t.C
		info, err := c.info()
		if err != nil || info.State == tcpClose {
			return
		}
		written := c.writes.TryLock()
		if written {
			c.writes.Unlock()
		}
		if written && info.Unacked == 0 && info.Notsent_bytes == 0 {
			return
		}
		if s.update(now, info) >= c.silence {
			c.dead.Store(true)
			_ = c.Close()
			return
		}
	}
}

// silence is how long a peer has not responded to anything that was sent to it.
type silence struct {
	// segments is the number of segments that had been received at the last update.
	segments uint32
	// since is the time of the first update since then with something to respond to; zero if there
	// was none.
	since time.Time
}

// rateLimitedProbes is the number of the kernel's probes in a row that a living peer without room may
// leave unanswered: it answers at most one in 500 ms, and the time between probes doubles.
const rateLimitedProbes = 1

// update applies the state of the connection at a time and returns how long the peer has been silent.
// A peer without room has something to respond to only after a probe of the kernel.
func (s *silence) update(now time.Time, info *unix.TCPInfo) time.Duration {
	responded := info.Segs_in != s.segments
	s.segments = info.Segs_in
	switch {
	case info.Unacked == 0 && info.Probes <= rateLimitedProbes:
		s.since = time.Time{}
	case responded || s.since.IsZero():
		s.since = now
	}
	if s.since.IsZero() {
		return 0
	}
	return now.Sub(s.since)
}
