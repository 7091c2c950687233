package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/metric"
)

// updateUrgency updates the share of the engines' memory that requests leave free for more urgent
// ones, and which requests are promoted, by the demand of all gateways.
func (f *fleet) updateUrgency(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own, changed := f.demand(now), false
	for service, e := range f.engines {
		f.view.UpdatePromotions(now, service, own)
		h := f.view.UpdateHeadroom(now, service, e, own, f.runTimes[service])
		if len(h) > 0 || f.headrooms[service] {
			showHeadroom(service, h)
			changed = true
		}
		f.headrooms[service] = len(h) > 0
	}
	if changed {
		f.serveQueue() // less may be left free than before
	}
}

// showHeadroom sets the metric of a service.
func showHeadroom(service string, h dispatch.Headroom) {
	metric.HeadroomShare.DeletePartialMatch(prometheus.Labels{"service": service})
	for _, step := range h {
		u := step.Urgency
		metric.HeadroomShare.WithLabelValues(service, strconv.Itoa(u.Organisation), strconv.Itoa(u.Route)).Set(h.For(u))
	}
}
