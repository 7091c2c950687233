package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// checkBadReports wants no report to be taken that can't be read.
func checkBadReports(h *History) []string {
	var out []string
	for _, w := range h.BadReports {
		if w.Status == http.StatusOK && !w.Foreign {
			out = append(out, "taken: "+w.Text)
		}
	}
	return out
}

// Bounds of a content that ends servers.
const (
	// deadlyServers is the number of servers that it may end before it is known.
	maxDeadlyServers = 3
	// deadlyAfter is the number of times that it may reach a server later than touchTime
	// after that.
	maxDeadlyLater = 3
)

// checkDeadly wants a content that ends servers to be left alone once three have ended.
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
	return []string{fmt.Sprintf("it ended %d servers, %d of them later than %v after the third", len(ran), later, undisturbedTime)}
}
