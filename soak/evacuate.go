package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// evacuationBound is how long after its acknowledgement an evacuation may not be in force at a
// gateway that is in touch.
const evacuationBound = 2500 * time.Millisecond

// evacuate evacuates the far zone for a time. The order that ends it is sent until it is taken,
// also after the callers' time.
//
// One order at a time: an earlier one that ends the evacuation may be taken late, and would end the
// next one too.
func (o *operators) evacuate(ctx context.Context, step Step) {
	o.evacuationMu.Lock()
	defer o.evacuationMu.Unlock()
	if !o.sendOrder(ctx, "start") {
		return
	}
	e := Evacuation{Zone: farZone, Acked: o.rec.now()}
	sleep(ctx, step.For)
	e.Finished = o.rec.now()
	o.sendOrder(context.WithoutCancel(ctx), "finish")
	o.rec.update(func(h *History) { h.Evacuations = append(h.Evacuations, e) })
}

// order sends an order about the far zone until a replica takes it, or too many tries were in
// vain.
func (o *operators) sendOrder(ctx context.Context, action string) bool {
	const tries = 200
	for try := 0; ctx.Err() == nil && try < tries; try++ {
		status, _, err := o.cluster.call(ctx, http.MethodPost, "http://"+o.cluster.apiAddresses[try%len(o.cluster.apiAddresses)]+"/-/evacuations/"+farZone+"/"+action, "")
		if err == nil && status == http.StatusOK {
			return true
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return false
}

// checkEvacuations wants no request to reach a zone from the bound after the acknowledgement on
// until the order is withdrawn. A gateway that was disturbed is held to it too: it has to ask
// before it sends.
func checkEvacuations(h *History) []string {
	var out []string
	for _, e := range h.Evacuations {
		for _, a := range h.Arrivals {
			if a.Zone == e.Zone && a.ID != "" && a.At > e.Acked+evacuationBound && a.At < e.Finished {
				out = append(out, fmt.Sprintf("%s of %s reached %s %v after zone %s was evacuated", a.ID, h.gatewayOf(a.ID), a.Server, a.At-e.Acked, e.Zone))
			}
		}
	}
	return out
}
