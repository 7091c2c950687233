package entry

import (
	"errors"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/metric"
)

// observe updates the metrics by the outcome of a request.
func (e *Entry) observe(f *Flow, err error) {
	outcome := "met"
	var fe *fault.Error
	switch {
	case errors.As(err, &fe):
		outcome = fe.Code.ID
	case !f.metTargets():
		outcome = "late"
	}
	metric.Requests.WithLabelValues(f.class, outcome).Inc()
	if f.tokenCount > 0 {
		metric.FirstToken.WithLabelValues(f.class).Observe(f.firstTokenAt.Sub(f.arrivedAt).Seconds())
	}
	if f.tokenCount > 1 {
		metric.BetweenTokens.WithLabelValues(f.class).Observe(f.timePerToken().Seconds())
	}
	if err == nil {
		event.RequestDone.Log(e.log, "request", f.ID, "tokens", f.tokenCount, "first_token", f.firstTokenAt.Sub(f.arrivedAt).Round(time.Millisecond))
	}
}
