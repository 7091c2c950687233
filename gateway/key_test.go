package gateway

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wire"
)

func TestBearerKey(t *testing.T) {
	for _, c := range []struct {
		name   string
		fields []string
		key    string
	}{
		{"as usual", []string{"Bearer k1"}, "k1"},
		{"scheme in any case", []string{"bEARER k1"}, "k1"},
		{"blanks around", []string{"  Bearer \t k1  "}, "k1"},
		{"no field", nil, ""},
		{"two fields", []string{"Bearer k1", "Bearer k1"}, ""},
		{"another scheme", []string{"Basic k1"}, ""},
		{"a scheme that begins alike", []string{"BearerX k1"}, ""},
		{"no scheme", []string{"k1"}, ""},
		{"no key", []string{"Bearer"}, ""},
		{"an empty key", []string{"Bearer  "}, ""},
		{"two words", []string{"Bearer k1 k2"}, ""},
		{"a list", []string{"Bearer k1,Bearer k2"}, ""},
	} {
		key, ok := bearerKey(c.fields)
		assert.Equal(t, key, c.key, c.name)
		assert.Equal(t, ok, c.key != "", c.name)
	}
}

// FuzzBearer checks that a key is one word of the field that contained it.
func FuzzBearer(f *testing.F) {
	for _, seed := range []string{"Bearer k1", "bearer  k", "Bearer", "Bearer a b", "Bearer\tk", "\x00Bearer k"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, field string) {
		key, ok := bearerKey([]string{field})
		if !ok {
			assert.Equal(t, key, "")
			return
		}
		words := strings.FieldsFunc(field, func(r rune) bool { return r == ' ' || r == '\t' })
		assert.Equal(t, len(words), 2, "%q", field)
		assert.Equal(t, key, words[1], "%q", field)
	})
}

// setOrganisations puts a table with organisations and a public route in force.
func (h *harness) setOrganisations(version uint64, organisations ...route.Organisation) {
	h.t.Helper()
	old := h.gateway.table.Load()
	table := &route.Table{Version: version, Routes: append([]route.Route{}, old.Routes[:4]...), Services: old.Services, Limits: old.Limits, Keyed: true, Organisations: organisations}
	public := table.Routes[0]
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	table.Routes = append(table.Routes, public)
	assert.NilError(h.t, table.Validate())
	table.Index()
	h.gateway.setTable(table)
}

// connectReplica connects the gateway to a replica as its hub, which reports that no limit is used.
func (h *harness) connectReplica() {
	h.t.Helper()
	hello := func() wire.Hello { return wire.Hello{Name: "hub", Role: wire.RoleControl, Zone: "z"} }
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		l, err := wire.Accept(w, req, wire.Options{Hello: hello})
		if err != nil {
			return
		}
		go func() {
			for l.Send(&wire.Message{Use: &quota.UsageUpdate{Whole: true, Together: 1, Alone: 0.1}}) == nil {
				time.Sleep(20 * time.Millisecond)
			}
		}()
		_ = l.Run(req.Context(), func(*wire.Message) {})
	}))
	h.t.Cleanup(server.CloseClientConnections)
	h.gateway.SetSeeds([]string{strings.TrimPrefix(server.URL, "http://")})
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		if h.gateway.links.usageKnown() && h.gateway.links.connected() {
			return poll.Success()
		}
		return poll.Continue("not connected, or no usage reported yet")
	}, poll.WithDelay(5*time.Millisecond))
}

func newOrganisation(name string, keys ...string) route.Organisation {
	out := route.Organisation{Name: name, Unit: route.Tokens, PlainTokens: 200}
	for _, key := range keys {
		out.Keys = append(out.Keys, route.DigestOf(key))
	}
	return out
}

// TestKeyDeterminesOrganisation checks that a server gets the organisation of a request, whatever
// the caller states about it, but not the key, and that requests without a known key are refused.
func TestKeyDeterminesOrganisation(t *testing.T) {
	h := newHarness(t)
	h.setOrganisations(2, newOrganisation("one", "key1", "key2"), newOrganisation("two", "key3"))
	h.connectReplica()
	a, p, d := h.add("plain", "a", ""), h.add("llm", "p1", "prefill"), h.add("llm", "d1", "decode")
	headers := protocol.Headers
	for _, c := range []struct {
		name, target, authorization string
		status                      int
		organisation                string
	}{
		{"known", "/rates/1", "Bearer key1", 200, "one"},
		{"second key", "/rates/1", "Bearer key2", 200, "one"},
		{"another one", "/review/1", "bearer key3", 200, "two"},
		{"none", "/rates/1", "", 401, ""},
		{"the beginning of one", "/rates/1", "Bearer key", 401, ""},
		{"one with more behind", "/rates/1", "Bearer key11", 401, ""},
		{"in another case", "/rates/1", "Bearer KEY1", 401, ""},
		{"the name of an organisation", "/rates/1", "Bearer one", 401, ""},
		{"no route", "/nowhere/1", "", 404, ""},
		{"public", "/public/1", "", 200, ""},
		{"public with a key", "/public/1", "Bearer key3", 200, "two"},
		{"public with an unknown key", "/public/1", "Bearer nobody", 200, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := [3]int{len(a.Arrivals()), len(p.Arrivals()), len(d.Arrivals())}
			header := map[string]string{headers.Organisation: "forged", strings.ReplaceAll(headers.Organisation, "-", "_"): "forged", "Connection": headers.Organisation}
			if c.authorization != "" {
				header["Authorization"] = c.authorization
			}
			got := h.send("POST", c.target, "q1", "x", header)
			assert.Equal(t, got.status, c.status, got.body)
			arrivals := append(append(a.Arrivals()[before[0]:], p.Arrivals()[before[1]:]...), d.Arrivals()[before[2]:]...)
			assert.Equal(t, len(arrivals) > 0, c.status == 200)
			for _, in := range arrivals {
				assert.Equal(t, in.Header.Get(headers.Organisation), c.organisation)
				for name, values := range in.Header {
					for _, v := range values {
						assert.Assert(t, !strings.Contains(v, "forged") && !strings.Contains(v, "key"), "%s: %s", name, v)
					}
				}
			}
		})
	}
}

// TestDisconnectedGatewayRefusesUnknownKeyAsNotRun checks that a gateway that may lack the newest
// table refuses an unknown key as not run, and not as invalid.
func TestDisconnectedGatewayRefusesUnknownKeyAsNotRun(t *testing.T) {
	h := newHarness(t)
	h.setOrganisations(2, newOrganisation("one", "key1"))
	h.add("plain", "a", "")
	bad := map[string]string{"Authorization": "Bearer new"}
	assert.Equal(t, h.send("POST", "/rates/1", "q1", "x", bad).status, 503)
	assert.Equal(t, h.send("POST", "/rates/1", "q2", "x", map[string]string{"Authorization": "Bearer key1"}).status, 200, "it continues with the state it has")
	h.connectReplica()
	assert.Equal(t, h.send("POST", "/rates/1", "q3", "x", bad).status, 401)
}

// TestNewTableReplacesKeys checks that a key that a table removes or adds is invalid or valid from
// the next request on.
func TestNewTableReplacesKeys(t *testing.T) {
	h := newHarness(t)
	h.connectReplica()
	h.add("plain", "a", "")
	status := func(key string) int {
		return h.send("POST", "/rates/1", "q", "x", map[string]string{"Authorization": "Bearer " + key}).status
	}
	h.setOrganisations(2, newOrganisation("one", "old"))
	assert.Equal(t, status("old"), 200)
	h.setOrganisations(3, newOrganisation("one", "new"))
	assert.Equal(t, status("old"), 401)
	assert.Equal(t, status("new"), 200)
	h.setOrganisations(2, newOrganisation("one", "old"))
	assert.Equal(t, status("old"), 401, "an older table changes nothing")
}

// TestAuthorizationIsForwardedWithoutKeys checks that the field is forwarded if the table has no
// keys.
func TestAuthorizationIsForwardedWithoutKeys(t *testing.T) {
	h := newHarness(t)
	a := h.add("plain", "a", "")
	assert.Equal(t, h.send("POST", "/rates/1", "q", "x", map[string]string{"Authorization": "Bearer k"}).status, 200)
	assert.Equal(t, a.Arrivals()[0].Header.Get("Authorization"), "Bearer k")
}

// TestRequestsOverLimitAreRefused checks that a request over the limit of its organisation is
// refused with the time at which it fits, that a request that never ran does not count, and that
// the log has the reason but no key.
func TestRequestsOverLimitAreRefused(t *testing.T) {
	h := newHarness(t)
	var log bytes.Buffer
	h.gateway.log = slog.New(slog.NewTextHandler(&log, nil))
	o := newOrganisation("one", "secret-key")
	o.Rate, o.Burst = 1000, 1000
	h.setOrganisations(2, o)
	h.connectReplica()
	header := map[string]string{"Authorization": "Bearer secret-key", protocol.Headers.Tokens: "500,500"}
	assert.Equal(t, h.send("POST", "/rates/1", "q1", "x", header).status, 503, "no server")
	b := h.add("plain", "a", "")
	assert.Equal(t, h.send("POST", "/rates/1", "q2", "x", header).status, 200, "the one before did not run")
	got := h.send("POST", "/rates/1", "q3", "x", header)
	assert.Equal(t, got.status, 429)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, runCount(b), 1)
	assert.Assert(t, strings.Contains(log.String(), "LP2017") && strings.Contains(log.String(), "organisation=one"), log.String())
	assert.Assert(t, !strings.Contains(log.String(), "secret-key"))
}

// TestOnlyUsageUpdatesRefreshLimitShares checks that no other message of a replica counts as a
// report on the usage of limits.
func TestOnlyUsageUpdatesRefreshLimitShares(t *testing.T) {
	l := testLinks(map[string]string{"a": "z1"})
	l.hub, l.usageReceived = "a", make(chan struct{})
	l.g.limits = newLimits(nil, quota.Bounds{})
	l.updateUsage("a", &quota.UsageUpdate{Whole: true, Together: 1, Alone: 0.1})
	updated := l.limitShares.Updated
	time.Sleep(time.Millisecond)
	l.handle("a", &wire.Message{Heartbeat: &wire.Heartbeat{}})
	assert.Equal(t, l.limitShares.Updated, updated)
	l.updateUsage("a", &quota.UsageUpdate{Together: 1, Alone: 0.1})
	assert.Assert(t, l.limitShares.Updated.After(updated))
}

// TestOverLimitRetry checks that callers over a limit are asked to retry while their answer can
// still be in time, and no sooner than their request fits.
func TestOverLimitRetry(t *testing.T) {
	r := &route.Route{Target: 900 * time.Millisecond}
	assert.Equal(t, overLimitRetry(r, 100*time.Millisecond), 100*time.Millisecond)
	assert.Equal(t, overLimitRetry(r, time.Minute), 450*time.Millisecond)
	assert.Equal(t, overLimitRetry(&route.Route{}, time.Minute), time.Minute)
}

// TestGatewayWithoutUsageRefusesAsNotRun checks that a gateway that has never received the usage of
// limits refuses a request as not run, and not because its organisation is over its limit.
func TestGatewayWithoutUsageRefusesAsNotRun(t *testing.T) {
	h := newHarness(t)
	h.add("plain", "a", "")
	o := newOrganisation("one", "key1")
	o.Rate, o.Burst = 1000, 1000
	h.setOrganisations(2, o)
	assert.Equal(t, h.send("POST", "/rates/1", "q1", "x", map[string]string{"Authorization": "Bearer key1"}).status, 503)
}

// TestEachRunCountsAgainstLimit checks that a second run of a request counts too.
func TestEachRunCountsAgainstLimit(t *testing.T) {
	g := &Gateway{limits: newLimits(nil, quota.Bounds{})}
	now := clock.VM.Now()
	g.limits.limiter.SetLimits(now, map[string]quota.Limit{"one": {Rate: 0.001, Burst: 1000}})
	g.limits.limiter.SetShare(now, quota.Share{Connected: 1, Disconnected: 1, Updated: now.Add(time.Hour)})
	g.limits.limiter.MergeUsage(now, nil)
	q := &request{arrived: now, organisation: &route.Organisation{Name: "one", Unit: route.Tokens, Rate: 1, Burst: 1000, PlainTokens: 100}}
	used := func() int { return g.limits.limiter.Usage(now)["one"] }
	assert.Assert(t, g.charge(q, 0) == nil)
	assert.Equal(t, used(), 100)
	g.noteMayHaveRun(q)
	g.noteMayHaveRun(q)
	g.refund(q)
	assert.Equal(t, used(), 200)
	other := &request{arrived: now, organisation: q.organisation}
	assert.Assert(t, g.charge(other, 0) == nil)
	g.refund(other)
	assert.Equal(t, used(), 200, "a request that did not run is refunded")
}

// TestOrganisationPriorityOverridesRoute checks that the priority of the organisation takes
// precedence over that of the route.
func TestOrganisationPriorityOverridesRoute(t *testing.T) {
	urgent := 0
	r := &route.Route{Priority: 3}
	assert.Equal(t, (&route.Organisation{Priority: &urgent}).PriorityFor(r), 0)
	assert.Equal(t, (&route.Organisation{}).PriorityFor(r), 3)
	assert.Equal(t, (*route.Organisation)(nil).PriorityFor(r), 3)
	var q dispatch.Queue
	q.Add(&dispatch.QueuedRequest{Work: dispatch.Work{Urgency: (*route.Organisation)(nil).UrgencyFor(r)}})
	q.Add(&dispatch.QueuedRequest{Work: dispatch.Work{Urgency: (&route.Organisation{Priority: &urgent}).UrgencyFor(r)}})
	assert.Equal(t, q.Len(), 2)
}
