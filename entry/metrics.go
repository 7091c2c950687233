package entry

import (
	"errors"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/metric"
)

// measure counts the outcome of a request.
func (e *Entry) measure(f *Flow, err error) {
	outcome := "met"
	var fe *fault.Error
	switch {
	case errors.As(err, &fe):
		outcome = fe.Code.ID
	case !f.onTarget():
		outcome = "late"
	}
	metric.Requests.WithLabelValues(f.class, outcome).Inc()
	if f.count > 0 {
		metric.FirstToken.WithLabelValues(f.class).Observe(f.first.Sub(f.arrived).Seconds())
	}
	if f.count > 1 {
		metric.BetweenTokens.WithLabelValues(f.class).Observe(f.perToken().Seconds())
	}
	if err == nil {
		event.RequestDone.Log(e.log, "request", f.ID, "tokens", f.count, "first_token", f.first.Sub(f.arrived).Round(time.Millisecond))
	}
}
