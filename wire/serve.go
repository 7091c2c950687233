package wire

import (
	"crypto/subtle"
	"log/slog"
	"net/http"
	"strings"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
)

// Handler serves links: it checks the peer's token and its Hello, and calls
// serve, which must run the link until it ends.
func Handler(log *slog.Logger, o Options, serve func(*Link)) http.Handler {
	o.Log = log
	refused, unauthorized := &refusals{}, &event.Limiter{Interval: badInterval, MaxKeys: maxBadLines}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !TokenOK(r, o.Token) {
			if unauthorized.Allow(clock.VM.Now(), host(r.RemoteAddr)) {
				event.PeerRefused.Log(log, "peer", r.RemoteAddr)
			}
			http.Error(w, fault.Unauthorized.ID, http.StatusUnauthorized)
			return
		}
		l, err := Accept(w, r, o)
		if err != nil {
			refused.record(log, clock.VM.Now(), accepted, r.RemoteAddr, err)
			return
		}
		defer l.Close()
		serve(l)
	})
}

// TokenOK reports whether a request carries the token; an empty token accepts every
// request.
func TokenOK(r *http.Request, token string) bool {
	if token == "" {
		return true
	}
	got := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(got), []byte(token)) == 1
}
