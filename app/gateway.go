package app

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/config"
	"github.com/ledgepin/ledgepin/control"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/gateway"
	"github.com/ledgepin/ledgepin/internal/wait"
	"github.com/ledgepin/ledgepin/membudget"
	"github.com/ledgepin/ledgepin/platform"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/strict"
)

// Times of the listeners of a gateway and of control's API.
const (
	headerTimeout = 10 * time.Second
	// callerIdle is longer than any idle time that operators set: a connection
	// that a caller may still use is never closed.
	callerIdleTimeout = 2 * time.Minute
	apiIdleTimeout    = 30 * time.Second
	// maxHeader bounds the head of a request in bytes.
	maxHeaderBytes = 16 << 10
	// settle is how long a draining gateway still takes streams: until callers
	// are sent elsewhere. What it takes later might not end in the grace time.
	drainSettleTime = 2900 * time.Millisecond
	// graceMargin is what is left of the grace time to end in order, and
	// finishMargin what is left before that when the last request ends.
	graceMargin  = 400 * time.Millisecond
	finishMargin = 300 * time.Millisecond
	// streamsEvery is how often a draining gateway looks whether streams run.
	streamPollInterval = 50 * time.Millisecond
	// memoryShare is the part of the memory that the heap may fill.
	heapShare = 0.7
	// Times of the replicated log where replicas are some milliseconds apart.
	minElectionTimeout = 600 * time.Millisecond
	heartbeatInterval  = 120 * time.Millisecond
)

// limitMemory tells the collector how much memory the process has.
func limitMemory(f *config.File) {
	if f.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(f.Memory) * heapShare))
	}
}

// discovered fills in how replicas find each other by seeds.
func setDiscovery(c *control.Config, section *config.Control) {
	port := portOf(section.Links)
	c.Name = section.Links
	c.Discovery = &control.Discovery{
		Seeds: withPort(section.Discovery.Seeds, port), Bootstrap: section.Discovery.Found, Voters: 2*section.Discovery.Tolerate + 1,
	}
	c.ElectionMin, c.HeartbeatEvery = minElectionTimeout, heartbeatInterval
	c.Roles = control.RoleConfig{Protocol: &platform.Protocol, Share: section.Engines.PrefillShare, Lease: section.Engines.OrderLease.D()}
}

// portOf returns the port of an address that was checked before.
func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

// withPort returns addresses with another port.
func withPort(addresses []string, port string) []string {
	out := make([]string, 0, len(addresses))
	for _, a := range addresses {
		if host, _, err := net.SplitHostPort(a); err == nil {
			out = append(out, net.JoinHostPort(host, port))
		}
	}
	return out
}

func (p *Process) startGateway(token string) error {
	section := p.file.Gateway
	if section == nil {
		return nil
	}
	p.gateway = gateway.Start(gateway.Config{
		Name: p.file.Name, Zone: p.file.Zone, Zones: p.file.Zones, Token: token, Protocol: platform.Protocol, Log: p.log,
		Seeds: withPort(section.Seeds, strconv.Itoa(section.LinksPort)),
		Retry: dispatch.Budget{Ratio: section.Retry.Ratio, Slack: section.Retry.Slack, Window: section.Retry.Window.D()},
		Quota: quotaBounds(section.Quota), Memory: heldLimits(p.file.Memory, section.Held),
	})
	ready := http.NewServeMux()
	ready.Handle("/", p.gateway.ReadyHandler())
	if _, err := p.ln.serve(section.Ready, &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout, IdleTimeout: apiIdleTimeout}); err != nil {
		return err
	}
	var err error
	p.Callers, err = p.ln.serve(section.Callers, &http.Server{
		Handler: p.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: gateway.ConnContext,
	})
	return err
}

// requestMemory bounds what is held for one request: a body and an answer, each of the greatest
// size.
const maxRequestMemory = 32 << 20

// heldOf returns the bounds of what is held for callers; none without a bound for the process.
func heldLimits(memory strict.Bytes, h config.HeldMemory) membudget.Limits {
	total := int64(float64(memory) * h.Share)
	return membudget.Limits{Total: total, Organisation: int64(float64(total) * h.Organisation), Request: maxRequestMemory}
}

func quotaBounds(q config.Quota) quota.Bounds {
	return quota.Bounds{Window: q.Window.D(), Overshoot: q.Overshoot, Slack: q.Slack}
}

func apiServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: apiIdleTimeout}
}

// drainGateway serves all that can end in time until callers are sent elsewhere. After that it takes
// no streams, and ends once those under way have ended; until then it goes on to
// serve short requests, since all gateways may be stopping one after the other.
// It leaves a part of the grace time to end in order.
func (p *Process) drainGateway(ctx context.Context) {
	grace := p.file.Drain.D() - graceMargin
	end := clock.VM.Now().Add(grace - finishMargin)
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	p.gateway.Drain(end)
	wait.For(ctx, drainSettleTime)
	p.gateway.Finish(end)
	for p.gateway.Streams() > 0 && ctx.Err() == nil {
		wait.For(ctx, streamPollInterval)
	}
	p.ln.shutdown(ctx)
	if n := p.gateway.Active(); n > 0 {
		event.DrainTimeout.Log(p.log, "requests", n)
	}
}
