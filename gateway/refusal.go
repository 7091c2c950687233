package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/metric"
)

// refusal is an answer of the gateway's own.
type refusal struct {
	status int
	reason string
	// route is the name of the route, if one was found.
	route string
	// retryAfter tells the caller when to come back; zero if not useful.
	retryAfter time.Duration
	// closing ends the connection, since the rest of the request is unread.
	closing bool
}

var notReady = refusal{status: http.StatusServiceUnavailable, reason: "no routing table yet", retryAfter: 500 * time.Millisecond}

// refuse answers a request that no server has answered.
func (g *Gateway) refuse(w http.ResponseWriter, id string, r refusal) {
	head := w.Header()
	if id != "" {
		head.Set(g.cfg.Protocol.Headers.RequestID, id)
	}
	if r.retryAfter > 0 {
		head.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 2, 64))
	}
	if r.closing {
		head.Set("Connection", "close")
	}
	metric.RouteRequests.WithLabelValues(r.route, r.reason).Inc()
	event.RequestRefused.Log(g.log, "id", id, "route", r.route, "status", r.status, "reason", r.reason, "retry_after_ms", r.retryAfter.Milliseconds())
	body := r.reason + "\n"
	if r.status == http.StatusUnauthorized {
		head.Set("WWW-Authenticate", "Bearer")
	}
	head.Set("Content-Type", "text/plain; charset=utf-8")
	head.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	_, _ = io.WriteString(w, body)
}
