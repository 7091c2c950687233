package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/standin"
)

const second = time.Second

const (
	retryRule   = "retry times are in bounds and differ"
	eventsRule  = "each event once and in order over all tries"
	urgencyRule = "urgent requests are served no worse, and others too"
	tableRule   = "each gateway in touch has a table all the time"
)

// validHistory returns a history that breaks no rule.
func validHistory() *History {
	h := &History{Length: 20 * second, Shape: DefaultShape}
	h.Requests = []Request{
		{ID: "q1", Kind: Checkout, Organisation: "one", Sent: second, Ended: 2 * second, Status: 200, Body: "answer to q1 by app-1"},
		{ID: "q2", Kind: Review, Organisation: "one", Sent: second, Ended: 2 * second, Status: 200, Body: streamAfter("", 0)},
		{ID: "q3", Kind: Rates, Organisation: "one", Sent: second, Ended: 2 * second, Status: 503},
		{ID: "q4", Kind: Review, Organisation: "one", Sent: second, Ended: 2 * second, Status: 200, Cut: true, LeftAt: 2 * second},
		attemptOf("q5", 1, 0, 7), attemptOf("q5-2", 2, 7, 9), attemptOf("q5-3", 3, 9, 9), attemptOf("q5-4", 4, 9, streamEvents),
	}
	h.Requests[4].Cut, h.Requests[4].Body = true, h.Requests[4].Body+"id: 8\nda"
	h.Requests[5].LeftAt = 2 * second
	h.Requests[6].Status = 503
	arrived := func(id, server, service, role string, ended time.Duration) Arrival {
		head := http.Header{}
		head.Set(headers.Organisation, "one")
		if role != "" {
			head.Set(headers.Role, role)
		}
		a := standin.Arrival{ID: id, Header: head, Ran: role != "prefill"}
		return Arrival{Arrival: a, Server: server, Service: service, At: second, Ended: ended}
	}
	h.Arrivals = []Arrival{
		arrived("q1", "app-1", appService, "", 2*second),
		arrived("q2", "llm-1", engineService, "prefill", 0), arrived("q2", "llm-2", engineService, "", 2*second),
		arrived("q4", "llm-2", engineService, "", 2*second+100*time.Millisecond),
	}
	h.Puts = []Put{{Version: 1, Status: 200, Valid: true}, {Version: 3, Sent: 5 * second, Ended: 6 * second, Status: 200, Valid: true}}
	h.Reads = []Read{{Sent: 2 * second, Ended: 2 * second, Status: 200, Version: 1}, {Sent: 12 * second, Ended: 12 * second, Status: 200, Version: 3}}
	h.Probes = []Probe{
		{Gateway: 1, Version: 1, Sent: 2 * second, Ended: 2 * second, Status: 200},
		{Gateway: 1, Version: 3, Sent: 10 * second, Ended: 10 * second, Status: 200},
	}
	h.Drains = []Drain{{Server: "app-1", At: 3 * second}}
	h.Orders = []RoleOrder{{"llm-1", "control-0", 2, second}, {"llm-1", "control-1", 3, 9 * second}}
	return h
}

// attemptOf returns an attempt of a caller of a resumable stream that receives the events after
// last up to to.
func attemptOf(id string, attempt, last, to int) Request {
	const content = "desk q5 " + oddTextMarker
	q := Request{
		ID: id, Kind: Desk, Organisation: "one", Content: content, Sent: second, Ended: 2 * second, Status: 200,
		Caller: "q5", Try: attempt, LastID: fmt.Sprint(last), Body: strings.TrimSuffix(streamAfter(content, last), streamAfter(content, to)),
	}
	r := &eventReader{now: func() time.Duration { return second }, onEvent: func(e Event) bool { q.Events = append(q.Events, e); return true }}
	r.feed([]byte(q.Body))
	return q
}

// TestEachCheckFindsItsViolation changes one thing in a valid history and checks that exactly the
// rule that it breaks is reported. A valid history has no violation.
func TestEachCheckFindsItsViolation(t *testing.T) {
	assert.Equal(t, fmt.Sprint(Check(validHistory())), "[]")
	crossing := validHistory()
	crossing.HeldKV = []HeldKV{{"q4", 2*second - 2*time.Millisecond}} // the caller of q4 disconnects at 2 s
	assert.Equal(t, fmt.Sprint(Check(crossing)), "[]")
	recovers := validHistory()
	recovers.Outages = []Outage{{Step: Step{Kind: KillControl}, Process: controlName(1), From: 5 * second, To: 6 * second}}
	recovers.NoLeader = []Gap{{From: 5 * second, To: 15 * second}}
	recovers.NoTable = []Gap{{Process: gatewayName(0), Incarnation: 2, First: true, From: 5 * second, To: 12 * second}}
	assert.Equal(t, fmt.Sprint(Check(recovers)), "[]")
	byChance := validHistory()
	byChance.addPairs(minPairs, 10, 18)
	assert.Equal(t, fmt.Sprint(Check(byChance)), "[]")
	resumed := validHistory()
	resumed.loseStreams(minLostStreams, 1)
	assert.Equal(t, fmt.Sprint(Check(resumed)), "[]")
	spread := validHistory()
	spread.refuseCallers(minRefusals, "0.5", "1.00", "4.5")
	assert.Equal(t, fmt.Sprint(Check(spread)), "[]")
	tests := []struct {
		rule   string
		name   string
		change func(h *History)
	}{
		{"whole and own answer", "another request's", func(h *History) { h.Requests[0].Body = "answer to q9 by app-1" }},
		{"whole and own answer", "half of a large answer that looks complete", func(h *History) { h.Requests[0].Content = standin.LargeAnswerBody(8000) }},
		{"whole and own answer", "a short stream that looks complete", func(h *History) { h.Requests[1].Body = streamAfter("", 0)[:100] }},
		{"whole and own answer", "an event twice", func(h *History) { h.Requests[1].Body = streamAfter("", 0)[:40] + streamAfter("", 0) }},
		{"a part of prompts that ends servers is left alone", "late crashes", func(h *History) { h.crashByPart(14, 1) }},
		{"a part of prompts that ends servers is left alone", "sound streams are refused", func(h *History) {
			for n := range 10 {
				q := h.Requests[1]
				q.ID, q.Status, q.Body, q.RetryAfter = fmt.Sprint("refused-", n), http.StatusServiceUnavailable, "the request, or a part of its prompt, ends the servers that run it\n", "5"
				h.Requests = append(h.Requests, q)
			}
		}},
		{eventsRule, "an event of the previous attempt", func(h *History) {
			q := attemptOf("q5-2", 2, 6, 9)
			h.Requests[5].Events, h.Requests[5].Body = q.Events, q.Body
		}},
		{eventsRule, "a duplicate within an attempt", func(h *History) {
			q := &h.Requests[7]
			q.Events = slices.Insert(q.Events, 4, q.Events[3])
		}},
		{eventsRule, "a missing event", func(h *History) {
			q := &h.Requests[7]
			q.Events = slices.Delete(q.Events, 4, 5)
		}},
		{eventsRule, "an event of another run", func(h *History) {
			h.Requests[7].Events[5].Text = eventText("desk q6 "+oddTextMarker, 15)
		}},
		{eventsRule, "an event of another version", func(h *History) {
			q := &h.Requests[7]
			e := &q.Events[5]
			e.Text = versionText(secondVersion)(q.Content, eventNumber(e.ID))
		}},
		{eventsRule, "an attempt of another version", func(h *History) {
			q := &h.Requests[7]
			for i := range q.Events {
				q.Events[i].Text = versionText(secondVersion)(q.Content, eventNumber(q.Events[i].ID))
			}
		}},
		{"whole and own answer", "events of two versions", func(h *History) {
			h.Requests[1].Body = strings.TrimSuffix(streamAfter("", 0), streamAfter("", 20)) + streamAfter(versionContent("", secondVersion), 20)
		}},
		{"callers who return for a stream are served", "refusals of returning callers", func(h *History) {
			for n := range 2 * minReturns {
				q := attemptOf(fmt.Sprintf("q7%d-2", n), 2, 6, 9)
				q.Caller, q.Events, q.Body, q.Status = fmt.Sprint("q7", n), nil, "", 503
				first := attemptOf(fmt.Sprintf("q8%d-1", n), 1, 0, 9)
				first.Caller, first.LastID, first.LeftAt = fmt.Sprint("q8", n), "", 2*second
				h.Requests = append(h.Requests, q, first)
			}
		}},
		{eventsRule, "an early end that looks complete", func(h *History) {
			q := &h.Requests[7]
			q.Events = q.Events[:8]
		}},
		{eventsRule, "a part of an event that looks complete", func(h *History) { h.Requests[7].Body += "id: 41\n" }},
		{eventsRule, "a part of another event", func(h *History) { h.Requests[4].Body += "x" }},
		{"a run goes on from its own memory", "from another request's", func(h *History) {
			a := h.Arrivals[2]
			a.Header = a.Header.Clone()
			a.Header.Set(headers.KVSource, "127.0.0.1:1/copy-q4")
			a.Mixed = true
			a.Server, a.At, a.Ended, a.Continues = "llm-3", 2*second, 3*second, true
			h.Arrivals = append(h.Arrivals, a)
		}},
		{"at most once", "a checkout on two servers", func(h *History) {
			h.Arrivals = append(h.Arrivals, h.Arrivals[0])
		}},
		{"a run is at one engine at a time", "at two", func(h *History) {
			a := h.Arrivals[2]
			a.Header = a.Header.Clone()
			a.Header.Set(headers.KVSource, "127.0.0.1:1/copy-q2")
			a.Server, a.At, a.Ended, a.Continues = "llm-3", second+100*time.Millisecond, 3*second, true
			h.Arrivals = append(h.Arrivals, a)
		}},
		{"not run is true", "a refusal that ran", func(h *History) {
			a := h.Arrivals[0]
			a.ID = "q3"
			h.Arrivals = append(h.Arrivals, a)
		}},
		{"nothing held for a caller gone", "work goes on", func(h *History) { h.Arrivals[3].Ended = 5 * second }},
		{"nothing held for a caller gone", "memory is held", func(h *History) { h.HeldKV = []HeldKV{{"q2", second}} }},
		{"nothing held for a caller gone", "memory created long before its caller disconnected", func(h *History) {
			h.HeldKV = []HeldKV{{"q4", 2*second - 100*time.Millisecond}}
		}},
		{"nothing held for a caller gone", "memory created after its caller disconnected", func(h *History) {
			h.HeldKV = []HeldKV{{"q4", 2*second + 100*time.Millisecond}}
		}},
		{"what is held for callers is bounded", "held 20000000 bytes", func(h *History) { h.MostHeld = map[string]int64{"gateway-0": 20e6} }},
		{"what servers send fills no gateway", "a large head", func(h *History) { h.MostResident = map[string]int64{"gateway-0": 300e6} }},
		{"no cold server gets more than it bears", "12 requests in a second", func(h *History) {
			h.Cold = []ColdSpan{{Server: "app-9", From: second, To: 4 * second}}
			for n := range time.Duration(12) {
				h.Arrivals = append(h.Arrivals, Arrival{Server: "app-9", At: 2*second + n*80*time.Millisecond})
			}
		}},
		{"what is held for callers is bounded", "held after all requests have ended", func(h *History) { h.LeftHeld = map[string]int64{"gateway-0": 1} }},
		{"nothing held for a caller gone", "a hold", func(h *History) { h.HeldRoom = 1 }},
		{"no new work for a leaving server", "late work", func(h *History) {
			a := h.Arrivals[0]
			a.ID, a.At = "q1", 7*second
			h.Arrivals[0] = a
		}},
		{"a planned stop cuts no request", "a cut request", func(h *History) {
			h.Outages = []Outage{{Step: Step{Kind: StopGateway}, Process: gatewayName(0), From: second, To: 4 * second}}
			h.Requests[0].Cut, h.Requests[0].Status = true, 0
		}},
		{"a planned stop cuts no request", "by a gateway of the other build", func(h *History) {
			h.Outages = []Outage{{Step: Step{Kind: Upgrade}, Process: gatewayName(0), From: second, To: 4 * second}}
			h.Requests[0].Cut, h.Requests[0].Status = true, 0
		}},
		{"a planned stop cuts no request", "by the downgrade of a replica", func(h *History) {
			h.Outages = []Outage{{Step: Step{Kind: Downgrade}, Process: controlName(0), From: second, To: 4 * second}}
			h.Requests[0].Cut, h.Requests[0].Status = true, 0
		}},
		{"tables are in force in time and never back", "an older table", func(h *History) {
			h.Probes = append(h.Probes, Probe{Gateway: 1, Version: 1, Sent: 11 * second, Ended: 11 * second, Status: 200})
		}},
		{"tables are in force in time and never back", "late", func(h *History) { h.Probes[1].Status = 404 }},
		{"tables are in force in time and never back", "late while control is replaced", func(h *History) {
			h.Probes[1].Status = 404
			h.Outages = []Outage{{Step: Step{Kind: Upgrade}, Process: controlName(0), From: 8 * second, To: 9 * second}}
		}},
		{"links between builds are not refused", "a log line", func(h *History) { h.Refusals = []Refusal{{"gateway-0", 1, "bad_peer"}} }},
		{tableRule, "none for too long after the start", func(h *History) {
			h.NoTable = []Gap{{Process: gatewayName(0), Incarnation: 2, First: true, From: 5 * second, To: 8 * second}}
		}},
		{tableRule, "a lost table", func(h *History) {
			h.NoTable = []Gap{{Process: gatewayName(0), Incarnation: 2, From: 5 * second, To: 5*second + 100*time.Millisecond}}
		}},
		{tableRule, "none for too long after a fault of control", func(h *History) {
			h.Outages = []Outage{{Step: Step{Kind: KillControl}, Process: controlName(1), From: 4 * second, To: 6 * second}}
			h.NoTable = []Gap{{Process: gatewayName(0), Incarnation: 2, First: true, From: 5 * second, To: 13 * second}}
		}},
		{tableRule, "none for too long while control is replaced", func(h *History) {
			h.Outages = []Outage{{Step: Step{Kind: Upgrade}, Process: controlName(1), From: 4 * second, To: 6 * second}}
			h.NoTable = []Gap{{Process: gatewayName(0), Incarnation: 2, First: true, From: 5 * second, To: 8 * second}}
		}},
		{"there is a leader", "none for too long", func(h *History) { h.NoLeader = []Gap{{From: 5 * second, To: 12 * second}} }},
		{"there is a leader", "none for too long after a kill", func(h *History) {
			h.Outages = []Outage{{Step: Step{Kind: KillControl}, Process: controlName(1), From: 5 * second, To: 6 * second}}
			h.NoLeader = []Gap{{From: 5 * second, To: 17 * second}}
		}},
		{"an acknowledged table is never lost", "an old read", func(h *History) { h.Reads[1].Version = 1 }},
		{"an acknowledged table is never lost", "no final read", func(h *History) { h.Reads = h.Reads[:1] }},
		{"no invalid table is taken", "accepted", func(h *History) {
			h.Puts = append(h.Puts, Put{Version: 9, Sent: 14 * second, Ended: 14 * second, Status: 200})
		}},
		{"the retry budget is kept", "many sends", func(h *History) {
			for range 60 {
				h.Arrivals = append(h.Arrivals, h.Arrivals[1])
			}
		}},
		{"reports that can't be read are not used", "accepted", func(h *History) { h.BadReports = []BadReport{{"{", 200, false}} }},
		{"a content that ends servers is left alone", "it still reaches servers", func(h *History) {
			for n := range 8 {
				a := h.Arrivals[0]
				a.ID, a.Service, a.Body, a.At = fmt.Sprint("deadly-", n), fmt.Sprint("s", n), deadlyContent, time.Duration(n)*3*second
				a.Server = "app-9"
				a.Ran = true
				h.Arrivals = append(h.Arrivals, a)
			}
		}},
		{"no new work for an evacuated zone", "a request after the bound", func(h *History) {
			h.Evacuations = []Evacuation{{Zone: farZone, Acked: 2 * second, Finished: 9 * second}}
			a := h.Arrivals[0]
			a.Zone, a.At = farZone, 5*second
			h.Arrivals[0] = a
		}},
		{"one holder of orders", "two holders of a fence", func(h *History) { h.Orders[1].Fence = 2 }},
		{"one holder of orders", "an older fence", func(h *History) { h.Orders[1].Fence = 1 }},
		{"keys and organisations are told apart", "another organisation's name", func(h *History) {
			h.Arrivals[0].Header.Set(headers.Organisation, "two")
		}},
		{"keys and organisations are told apart", "a key is shown", func(h *History) {
			h.Arrivals[0].Header.Set("Authorization", "Bearer key-one")
		}},
		{"keys and organisations are told apart", "a known key is refused", func(h *History) { h.Requests[2].Status = http.StatusUnauthorized }},
		{"keys and organisations are told apart", "an answer without a key", func(h *History) {
			h.Requests = append(h.Requests, Request{ID: "q5", Kind: Rates, Organisation: unknownOrganisation, Status: 200, Cut: true})
		}},
		{"limits are kept", "too much in a window", func(h *History) {
			h.Requests = append(h.Requests, Request{ID: "q5", Kind: Rates, Organisation: "hot", Status: 200, Body: "answer to q5 by app-1"})
			for n := range 80 {
				id := fmt.Sprint("hot-", n)
				a := h.Arrivals[0]
				a.ID, a.Header, a.Server, a.At = id, http.Header{}, "app-2", time.Duration(n)*90*time.Millisecond
				a.Header.Set(headers.Organisation, "hot")
				h.Arrivals = append(h.Arrivals, a)
				h.Requests = append(h.Requests, Request{ID: id, Kind: Rates, Organisation: "hot", Status: 200, Body: "answer to " + id + " by app-1"})
			}
		}},
		{"no server gets more than it names", "one gateway sends too much", func(h *History) { h.reportLimit(4.1, 30) }},
		{"no server gets more than it names", "after a lower limit", func(h *History) {
			h.reportLimit(1, 12)
		}},
		{"no server gets more than it names", "calls of a gateway's own", func(h *History) {
			h.reportLimit(4.1, 29)
			h.Limited = append(h.Limited, LimitedArrival{Server: "app-1", Path: "/health", At: 14 * second})
		}},
		{"no server gets more than it names", "calls of a gateway that has received the limit", func(h *History) {
			h.reportLimit(4.1, 29)
			h.Limited = append(h.Limited, LimitedArrival{Server: "app-1", Sender: gatewayName(0), Named: true, Path: "/health", At: 14 * second})
		}},
		{"no server gets more than it names", "calls only", func(h *History) {
			h.reportLimit(4.1, 30)
			for i := range h.Limited {
				h.Limited[i].ID, h.Limited[i].Sender = "", gatewayName(0)
			}
		}},
		{"a server that asks for a pause is left alone", "three requests in a pause", func(h *History) { h.requestPause(3*second, 3) }},
		{"a server that asks for a pause is left alone", "a shorter pause since", func(h *History) {
			h.requestPause(3*second, 3)
			h.Asked[1].Pause = 100 * time.Millisecond
		}},
		{"no request for a server that says that it leaves", "one later than the bound", func(h *History) { h.reportLeaving(3 * second) }},
		{urgencyRule, "the least urgent kind is served better", func(h *History) { h.addPairs(20, 2, 12) }},
		{urgencyRule, "the most urgent kind is answered late", func(h *History) {
			h.addPairs(20, 20, 20)
			for i := range h.Requests {
				if q := &h.Requests[i]; q.Kind == Urgent {
					q.FirstByte = q.Sent + urgencyTarget + 1
				}
			}
		}},
		{urgencyRule, "the least urgent kind starves", func(h *History) { h.addPairs(minPairs, minPairs, 0) }},
		{urgencyRule, "the least urgent kind is hardly served", func(h *History) { h.addPairs(200, 200, 5) }},
		{"streams that may be resumed are", "one of eleven", func(h *History) { h.loseStreams(11, 1) }},
		{retryRule, "no time", func(h *History) { h.refuseCallers(1, "") }},
		{retryRule, "a time later than callers wait", func(h *History) { h.refuseCallers(1, "4.6") }},
		{retryRule, "the same time for all", func(h *History) { h.refuseCallers(minRefusals, "4.4") }},
		{"no process ends by itself", "an exit", func(h *History) { h.Exits = []string{"gateway-0: exit status 2"} }},
	}
	for _, tt := range tests {
		t.Run(tt.rule+"/"+tt.name, func(t *testing.T) {
			h := validHistory()
			tt.change(h)
			found := Check(h)
			assert.Assert(t, len(found) > 0, "no violation was found")
			for _, v := range found {
				assert.Equal(t, v.Rule, tt.rule, v.Detail)
			}
		})
	}
}

// addPairs adds pairs of an urgent and a background request, of which some are served in time and
// the others are refused.
func (h *History) addPairs(pairs, urgent, background int) {
	for n := range pairs {
		for kind, served := range map[RequestKind]int{Urgent: urgent, Background: background} {
			q := Request{ID: fmt.Sprintf("%s-%d", kind, n), Kind: kind, Organisation: "one", Sent: second, Ended: 2 * second, Status: 503}
			if n < served {
				q.FirstByte, q.Status, q.Body = second+100*time.Millisecond, 200, streamAfter("", 0)
			}
			h.Requests = append(h.Requests, q)
		}
	}
}

// crashByPart adds crashes of engines under one part of prompts, an interval of seconds apart.
func (h *History) crashByPart(crashes int, interval time.Duration) {
	for n := range crashes {
		id := fmt.Sprint(poisonPartPrefix, "0-request-", n)
		var a Arrival
		a.ID, a.Service, a.Server, a.Ran, a.At = id, engineService, fmt.Sprint("llm-", 100+n), true, time.Duration(n)*interval*second
		a.Header = http.Header{}
		a.Header.Set(headers.PromptParts, partsField([]string{firstPart, poisonPartPrefix + "0"}, id))
		a.Header.Set(headers.Organisation, "one")
		h.Arrivals = append(h.Arrivals, a)
		h.Requests = append(h.Requests, Request{ID: id, Kind: Review, Organisation: "one", Cut: true})
	}
}

// loseStreams adds resumable streams that lose their engine, of which some are resumed by their
// callers.
func (h *History) loseStreams(lost, resumed int) {
	h.Outages = append(h.Outages, Outage{Step: Step{Kind: KillServer}, Process: "llm-2", From: 1500 * time.Millisecond, To: 2 * second})
	for n := range lost {
		first, again := attemptOf(fmt.Sprint("lost-", n), 1, 0, 7), attemptOf(fmt.Sprint("again-", n), 2, 7, streamEvents)
		first.Caller, again.Caller, first.Cut = first.ID, first.ID, true
		h.Requests = append(h.Requests, first)
		if n < resumed {
			h.Requests = append(h.Requests, again)
		}
		a := h.Arrivals[3]
		a.ID = first.ID
		h.Arrivals = append(h.Arrivals, a)
	}
}

// refuseCallers adds callers that are refused at the same time and told in turn one of some times.
func (h *History) refuseCallers(n int, times ...string) {
	for i := range n {
		h.Requests = append(h.Requests, Request{
			ID: fmt.Sprint("refused-", i), Kind: Review, Organisation: "one", Sent: second, Ended: second, Status: 503,
			Body: noCapacity, RetryAfter: times[i%len(times)],
		})
	}
}

// reportLimit adds a server that reports a limit from 8 s on and receives some requests between 13
// and 14 s from a gateway that has received the limit.
func (h *History) reportLimit(rate float64, requests int) {
	h.Limits = append(h.Limits, ServerLimit{Server: "app-1", First: 8 * second, From: 8 * second, To: 18 * second, Rate: rate})
	h.Limited = append(h.Limited, LimitedArrival{Server: "app-1", ID: "q1", Named: true, At: 8 * second})
	for i := range requests {
		h.Limited = append(h.Limited, LimitedArrival{Server: "app-1", ID: "q1", Named: true, At: 13*second + time.Duration(i)*10*time.Millisecond})
	}
}

// requestPause adds a server that requests a pause at 8 s and receives some requests a second later
// from the gateway that received the refusal.
func (h *History) requestPause(pause time.Duration, requests int) {
	h.Asked = append(h.Asked, SelfReportArrival{Server: "app-1", ID: "q1", At: 8 * second, Pause: pause})
	for i := range requests {
		h.Asked = append(h.Asked, SelfReportArrival{Server: "app-1", ID: "q1", At: 9*second + time.Duration(i)*10*time.Millisecond})
	}
}

// reportLeaving adds a server that reports in its answer to q1, which ends at 2 s, that it leaves,
// and then receives a request that was sent later by the given time.
func (h *History) reportLeaving(after time.Duration) {
	h.Requests = append(h.Requests, Request{ID: "late", Kind: Rates, Organisation: "one", Sent: 2*second + after, Ended: 2*second + after, Status: 503})
	h.Asked = append(h.Asked, SelfReportArrival{Server: "app-1", ID: "q1", At: second, Leaving: true}, SelfReportArrival{Server: "app-1", ID: "late", At: 2*second + after + time.Millisecond})
}

// TestSelfReportChecksAllowExcusedRequests checks that requests that the rules on pauses and
// leaving servers allow are not reported as violations.
func TestSelfReportChecksAllowExcusedRequests(t *testing.T) {
	for name, change := range map[string]func(h *History){
		"two requests in a pause": func(h *History) { h.requestPause(3*second, 2) },
		"under way together":      func(h *History) { h.requestPause(3*second, 3); h.Asked[0].At = 8600 * time.Millisecond },
		"after the pause":         func(h *History) { h.requestPause(900*time.Millisecond, 3) },
		"a gateway that was restarted": func(h *History) {
			h.requestPause(3*second, 3)
			h.Outages = append(h.Outages, Outage{Process: gatewayName(0), From: 8500 * time.Millisecond, To: 9 * second})
		},
		"a silent link": func(h *History) {
			h.requestPause(3*second, 3)
			h.Outages = append(h.Outages, Outage{Step: Step{Kind: SilenceLink}, Process: "app-1", From: 8 * second, To: 9 * second})
		},
		"within the bound of leaving": func(h *History) { h.reportLeaving(2 * second) },
		"a gateway that was restarted since": func(h *History) {
			h.reportLeaving(3 * second)
			h.Outages = append(h.Outages, Outage{Process: gatewayName(0), From: 3 * second, To: 4 * second})
		},
	} {
		h := validHistory()
		change(h)
		assert.Equal(t, len(checkPauses(h))+len(checkReportedLeaving(h)), 0, name)
	}
}

// TestServerLimitCheckAllowsExcusedRequests checks that requests that the rule on servers' limits
// allows are not reported as violations.
func TestServerLimitCheckAllowsExcusedRequests(t *testing.T) {
	for name, change := range map[string]func(h *History){
		"as much as is allowed":                func(h *History) { h.reportLimit(4.1, 29) },
		"a gateway that has received no limit": func(h *History) { h.reportLimit(4.1, 40); h.Limited[0].At = 13 * second },
		"calls of a gateway that has received no limit": func(h *History) {
			h.reportLimit(4.1, 29)
			for range 10 {
				h.Limited = append(h.Limited, LimitedArrival{Server: "app-1", Sender: gatewayName(1), Named: true, Path: "/hold", At: 14 * second})
			}
		},
		"calls of a gateway that was paused": func(h *History) {
			h.reportLimit(4.1, 40)
			for i := range h.Limited {
				h.Limited[i].ID, h.Limited[i].Sender = "", gatewayName(0)
			}
			h.Outages = append(h.Outages, Outage{Process: gatewayName(0), From: 10 * second, To: 11 * second})
		},
		"a gateway that was paused": func(h *History) {
			h.reportLimit(4.1, 40)
			h.Outages = append(h.Outages, Outage{Process: gatewayName(0), From: 10 * second, To: 11 * second})
		},
		"within limitSettleTime": func(h *History) {
			h.reportLimit(4.1, 40)
			h.Limits[0].First = 11 * second
			h.Limits[0].From = 11 * second
		},
		"a limit that has ended since": func(h *History) {
			h.reportLimit(4.1, 40)
			h.Limited[0].At = 6 * second
			h.Limited = slices.Insert(h.Limited, 1, LimitedArrival{Server: "app-1", ID: "q1", At: 7 * second})
		},
		"reported intermittently": func(h *History) { h.reportLimit(4.1, 40); h.Limits[0].To = 12 * second },
	} {
		h := validHistory()
		change(h)
		assert.Equal(t, len(checkServerLimits(h)), 0, name)
	}
}

// TestPlanIsDeterministicAndSparesControl checks that a seed always gives the same plan, that each
// kind of step occurs, and that two replicas of control are never disturbed at once.
func TestPlanIsDeterministicAndSparesControl(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(60) {
		plan := NewPlan(seed, 30*second, DefaultShape)
		assert.DeepEqual(t, plan, NewPlan(seed, 30*second, DefaultShape))
		free := time.Duration(0)
		for _, s := range plan {
			seen[s.Kind] = true
			assert.Assert(t, s.At < 30*second-faultFreeEnd)
			switch s.Kind {
			case KillControl, PauseControl, WipeControl, KillAllControl:
				assert.Assert(t, s.At >= free, "seed %d: %s", seed, s)
				free = s.At + s.For + controlRecoveryTime
			}
		}
	}
	for _, k := range append(append(streamKinds, faultKinds...), EvacuateZone, ReportLimit, SlowReaders, SlowServer, RequestPauses, ReportLeaving, UrgencyBurst, FlapEngines, EndlessAnswers) {
		assert.Assert(t, seen[k], k)
	}
}
