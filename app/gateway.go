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

// Limits of the listeners and of the drain of a gateway, of control's API and of
// its replicated log.
const (
	headerTimeout = 10 * time.Second
	// callerIdleTimeout is longer than any idle timeout that operators set, so
	// that a connection that a caller may still use is never closed.
	callerIdleTimeout = 2 * time.Minute
	apiIdleTimeout    = 30 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// drainSettleTime is the time for which a draining gateway still accepts
	// streams: until callers are sent to other gateways. A stream that it
	// accepted later might not end within the grace time.
	drainSettleTime = 2900 * time.Millisecond
	// graceMargin is the end of the grace time, reserved for an orderly shutdown.
	// finishMargin is the time between the deadline of the last request and that
	// shutdown.
	graceMargin  = 400 * time.Millisecond
	finishMargin = 300 * time.Millisecond
	// streamPollInterval is the interval at which a draining gateway checks for
	// streams in progress.
	streamPollInterval = 50 * time.Millisecond
	// heapShare is the share of the process's memory that the Go runtime may use.
	heapShare = 0.7
	// minElectionTimeout and heartbeatInterval are the times of the replicated log
	// for replicas with some milliseconds of network latency between them.
	minElectionTimeout = 600 * time.Millisecond
	heartbeatInterval  = 120 * time.Millisecond
)

// limitMemory sets the soft memory limit of the Go runtime, if the settings file
// bounds the memory of the process.
func limitMemory(f *config.File) {
	if f.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(f.Memory) * heapShare))
	}
}

// setDiscovery configures a replica that finds the others by seeds.
func setDiscovery(c *control.Config, section *config.Control) {
	port := portOf(section.Links)
	c.Name = section.Links
	c.Discovery = &control.Discovery{
		Seeds: withPort(section.Discovery.Seeds, port), Bootstrap: section.Discovery.Found, Voters: 2*section.Discovery.Tolerate + 1,
	}
	c.ElectionMin, c.HeartbeatEvery = minElectionTimeout, heartbeatInterval
	c.Roles = control.RoleConfig{Protocol: &platform.Protocol, Share: section.Engines.PrefillShare, Lease: section.Engines.OrderLease.D()}
}

// portOf returns the port of a validated address.
func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

// withPort returns the addresses with their port replaced, without the addresses
// that have none.
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
	p.Callers, err = p.ln.serveCallers(section.Callers, &http.Server{
		Handler: p.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: gateway.ConnContext,
	})
	return err
}

// maxRequestMemory bounds the memory that is held for one request: a body and an answer, each of
// the maximum size.
const maxRequestMemory = 32 << 20

// heldLimits returns the limits of the memory that is held for callers; no limits if the memory of
// the process is not bounded.
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

// drainGateway accepts all requests that can end in time until callers are sent
// to other gateways. After that it refuses streams, and returns once those in
// progress have ended. Until then it continues to serve short requests, since all
// gateways may be stopping one after the other. It reserves the end of the
// grace time for an orderly shutdown.
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
