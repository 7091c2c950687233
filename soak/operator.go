package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// tableTemplate is the routing table of a run. Each version has a route that no other version has,
// which shows which version is in force at a gateway.
const tableTemplate = `{"version":VERSION,"routes":[
 {"name":"checkout","host":"h","pathPrefix":"/checkout/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,"service":"app","maxAttempts":1},
 {"name":"rates","host":"h","pathPrefix":"/rates/","kind":"idempotent","timeoutMs":3000,"targetLatencyMs":300,"service":"app","maxAttempts":2},
 {"name":"review","host":"h","pathPrefix":"/review/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":900,"gapTargetMs":500,"priority":1,"service":"llm","maxAttempts":1},
 {"name":"urgent","host":"h","pathPrefix":"/urgent/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":900,"gapTargetMs":500,"priority":0,"service":"llm","maxAttempts":1},
 {"name":"background","host":"h","pathPrefix":"/background/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":900,"gapTargetMs":500,"priority":2,"service":"llm","maxAttempts":1},
 {"name":"desk","host":"h","pathPrefix":"/desk/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":900,"gapTargetMs":500,"priority":1,"service":"llm","maxAttempts":3,"resumable":true},
 {"name":"version","host":"h","pathPrefix":"/version-VERSION/","kind":"idempotent","timeoutMs":1000,"targetLatencyMs":300,"service":"SERVICE","maxAttempts":1}],
 "services":[{"name":"app","healthCheck":"/health","maxConnections":200,"coldStartS":COLDSTART,"coldPerS":COLDRATE},
 {"name":"llm","healthCheck":"/health","maxConnections":200,"engine":{"slots":16,"kvTokens":KVTOKENS,"kvHoldS":2,"roleSwitchS":0.5,"stride":STRIDE,"holdMs":2000,"moves":true}}],
 "tenants":[
 {"name":"one","apiKeys":["key-one","key-VERSION"],"unit":"token_stream","plainTokens":200},
 {"name":"two","apiKeys":["key-two"],"priority":0,"unit":"token_stream","plainTokens":200,"ratePerS":10000000,"burst":10000000},
 {"name":"hot","apiKeys":["key-hot"],"unit":"token_stream","plainTokens":200,"ratePerS":HOT,"burst":HOT}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":8388608,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// engineKVTokens is the memory of an engine in tokens, enough for about six runs, so that engines
// fill up and runs migrate.
const engineKVTokens = 3600

func tableText(version int, service string) string {
	return strings.NewReplacer("VERSION", fmt.Sprint(version), "SERVICE", service, "HOT", fmt.Sprint(hotRate),
		"COLDSTART", fmt.Sprintf("%.1f", coldTime.Seconds()), "COLDRATE", fmt.Sprintf("%.1f", coldRate),
		"KVTOKENS", fmt.Sprint(engineKVTokens), "STRIDE", fmt.Sprint(eventTokens)).Replace(tableTemplate)
}

// operators change and read the table, and probe which version is in force at the gateways.
type operators struct {
	// evacuationMu is held while the far zone is being evacuated.
	evacuationMu sync.Mutex
	cluster      *cluster
	rec          *recorder
	// lastVersion is the newest version assigned, lastAcked the newest one acknowledged.
	lastVersion atomic.Int64
	lastAcked   atomic.Int64
	probeCount  atomic.Int64
}

// putTable creates a new table and sends it until it is acknowledged or the time is over, as an
// operator does who loses answers.
func (o *operators) putTable(ctx context.Context, service string) {
	version := int(o.lastVersion.Add(1))
	text := tableText(version, service)
	p := Put{Version: version, Sent: o.rec.now(), Valid: service != "none"}
	for try := 0; ctx.Err() == nil && try < 40; try++ {
		status, _, err := o.cluster.call(ctx, http.MethodPost, "http://"+o.cluster.apiAddresses[try%len(o.cluster.apiAddresses)]+"/-/config/put", text)
		if err == nil && (status == http.StatusOK || status == http.StatusBadRequest) {
			p.Status = status
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.Ended = o.rec.now()
	if p.Status == http.StatusOK {
		o.lastAcked.Store(max(o.lastAcked.Load(), int64(version)))
	}
	o.rec.update(func(h *History) { h.Puts = append(h.Puts, p) })
}

// readTable reads the table at a replica of control.
func (o *operators) readTable(ctx context.Context, control int) Read {
	r := Read{Control: control, Sent: o.rec.now()}
	status, body, err := o.cluster.call(ctx, http.MethodGet, "http://"+o.cluster.apiAddresses[control]+"/-/config/get", "")
	r.Ended = o.rec.now()
	var doc struct {
		Version int `json:"version"`
	}
	if err == nil && status == http.StatusOK && json.Unmarshal([]byte(body), &doc) == nil {
		r.Status, r.Version = status, doc.Version
		o.rec.update(func(h *History) { h.Reads = append(h.Reads, r) })
	}
	return r
}

// readTables reads the table at the replicas in turn until the context ends.
func (o *operators) readTables(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		o.readTable(ctx, n%len(o.cluster.apiAddresses))
		sleep(ctx, 150*time.Millisecond)
	}
}

// probeGateways requests from each gateway the route of the newest acknowledged table and that of
// the table before, until the context ends.
func (o *operators) probeGateways(ctx context.Context) {
	for ctx.Err() == nil {
		newest := int(o.lastAcked.Load())
		var wg sync.WaitGroup
		for n := range o.cluster.shape.Gateways {
			for _, version := range []int{newest, newest - 1} {
				if version > 0 {
					wg.Go(func() { o.probeGateway(ctx, n, version) })
				}
			}
		}
		wg.Wait()
		sleep(ctx, 200*time.Millisecond)
	}
}

func (o *operators) probeGateway(ctx context.Context, gateway, version int) {
	p := Probe{Gateway: gateway, Incarnation: o.cluster.processes[gatewayName(gateway)].incarnations(), Version: version, Sent: o.rec.now()}
	p.Status = o.probeStatus(ctx, gateway, version)
	p.Ended = o.rec.now()
	if p.Status != 0 {
		o.rec.update(func(h *History) { h.Probes = append(h.Probes, p) })
	}
}

// probeStatus requests the route that only one version of the table has from a gateway, and returns
// the status of the answer, or zero if there was none.
func (o *operators) probeStatus(ctx context.Context, gateway, version int) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/version-%d/x", o.cluster.callerAddresses[gateway], version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	req.Host = "h"
	req.Header.Set("Authorization", "Bearer key-two")
	req.Header.Set(headers.RequestID, fmt.Sprint("probe-", o.probeCount.Add(1)))
	resp, err := o.cluster.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := readAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
