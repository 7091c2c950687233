package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// evacuationBound is the time by which an evacuation must be in force at a connected gateway,
// counted from the acknowledgement of the evacuation.
const evacuationBound = 2500 * time.Millisecond

// evacuate evacuates the far zone for a time. The order that ends the evacuation is sent until
// control accepts it, also after the end of the load.
//
// Evacuations don't overlap: the order that ends an earlier one may be accepted late and would also
// end the next one.
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

// sendOrder sends an order about the far zone until a replica accepts it or all tries have failed.
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

// checkEvacuations checks that no request reaches an evacuated zone later than evacuationBound
// after the acknowledgement, until the order is withdrawn. Disturbed gateways are not excused: a
// gateway that was suspended waits for the current state from control before it sends.
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
