package app

import (
	"container/list"
	"net"
	"sync"

	"golang.org/x/sys/unix"

	"github.com/ledgepin/ledgepin/metric"
)

// callerFileShare is the share of the process's file descriptors that callers' connections may use. The rest
// is for connections to servers and for links: without any left, no request could be sent on, and none accepted.
const callerFileShare = 0.6

// maxCallerConnections returns how many connections callers may have; zero if it isn't bounded.
func maxCallerConnections() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<30 {
		return 0
	}
	return int(callerFileShare * float64(limit.Cur))
}

// connectionLimit bounds the open connections of a server. Beyond it, a new connection replaces the one that
// has been idle for the longest time, and is itself closed unread if none is idle: its caller can try
// another gateway at once.
type connectionLimit struct {
	most int

	mu   sync.Mutex
	open map[net.Conn]bool
	// idle are the idle connections, those that have been idle for longest first, and places their
	// elements.
	idle   list.List
	places map[net.Conn]*list.Element
}

func newConnectionLimit(most int) *connectionLimit {
	return &connectionLimit{most: most, open: map[net.Conn]bool{}, places: map[net.Conn]*list.Element{}}
}

// noteOpened records a new connection, and closes one if there are too many.
func (l *connectionLimit) noteOpened(c net.Conn) {
	victim, cause := l.add(c)
	if victim != nil {
		metric.CallerConnectionsClosed.WithLabelValues(cause).Inc()
		_ = victim.Close()
	}
}

// add adds a connection, and returns the one to close and why; nil for none.
func (l *connectionLimit) add(c net.Conn) (victim net.Conn, cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	if l.most <= 0 || len(l.open) <= l.most {
		return nil, ""
	}
	if first := l.idle.Front(); first != nil {
		victim = first.Value.(net.Conn)
		l.removeIdle(victim)
		return victim, "idle"
	}
	return c, "new"
}

// removeIdle records that a connection is not idle. The caller holds l.mu.
func (l *connectionLimit) removeIdle(c net.Conn) {
	if e := l.places[c]; e != nil {
		l.idle.Remove(e)
		delete(l.places, c)
	}
}

func (l *connectionLimit) noteBusy(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(c)
}

func (l *connectionLimit) noteIdle(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[c] && l.places[c] == nil {
		l.places[c] = l.idle.PushBack(c)
	}
}

func (l *connectionLimit) noteClosed(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	l.removeIdle(c)
}
