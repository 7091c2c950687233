package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// checkBadReports checks that control accepts no unreadable report.
func checkBadReports(h *History) []string {
	var out []string
	for _, w := range h.BadReports {
		if w.Status == http.StatusOK && !w.Foreign {
			out = append(out, "accepted: "+w.Text)
		}
	}
	return out
}

// Bounds for requests that crash servers.
const (
	// maxDeadlyServers is the number of servers that such a content may crash before it is
	// recognised.
	maxDeadlyServers = 3
	// maxDeadlyLater is how often the content may reach a server later than undisturbedTime after
	// that.
	maxDeadlyLater = 3
)

// checkDeadly checks that a content that crashes servers is no longer sent once it has crashed
// three.
func checkDeadly(h *History) []string {
	var ran []time.Duration
	for _, a := range h.Arrivals {
		if a.Body == deadlyContent && a.Ran {
			ran = append(ran, a.At)
		}
	}
	slices.Sort(ran)
	if len(ran) <= maxDeadlyServers {
		return nil
	}
	later := 0
	for _, at := range ran[maxDeadlyServers:] {
		if at > ran[maxDeadlyServers-1]+undisturbedTime {
			later++
		}
	}
	if later <= maxDeadlyLater {
		return nil
	}
	return []string{fmt.Sprintf("it crashed %d servers, %d of them later than %v after the third", len(ran), later, undisturbedTime)}
}
