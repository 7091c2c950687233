package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// badReportInterval is the time between two invalid reports.
const badReportInterval = 150 * time.Millisecond

// unreadableEdits are pairs of a text in a server's report and its replacement. Each makes the
// report unreadable or invalid.
var unreadableEdits = [][2]string{
	{`"state":"ready"`, `"state":"odd"`}, {`"slots":16`, `"slots":"many"`}, {`"slots":16`, `"slots":1e300`}, {`"zone":`, `"place":`}, {`"version":`, `"edition":`},
	{`"service":`, "\"serv\xff\":"}, {`"sequence":`, `"sequence":-`}, {`"born":`, `"born":-`}, {`"born":`, `"born":1.`}, {`"address":"127`, `"address":"nowhere-127`},
	{`}`, ``}, {`{`, `[{`}, {`"coldRemainingMs":`, `"coldRemainingMs":null,"was":`},
}

// foreignEdits are pairs like unreadableEdits. The changed report is valid but describes another
// server, which a replica that does not know the server yet can't detect.
var foreignEdits = [][2]string{{`"address":"127.0.0.1`, `"address":"127.0.0.9`}, {`"service":"`, `"service":"other-`}}

// sendBadReports sends reports that are unreadable, or that another server must have written, until
// the context ends.
func (cl *cluster) sendBadReports(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	for ; ctx.Err() == nil; sleep(ctx, badReportInterval) {
		srv := cl.servers[r.IntN(len(cl.servers))]
		edits, isForeign := unreadableEdits, r.IntN(len(unreadableEdits)+len(foreignEdits)) >= len(unreadableEdits)
		if isForeign {
			edits = foreignEdits
		}
		edit := edits[r.IntN(len(edits))]
		text := strings.Replace(cl.heartbeatBody(srv, "ready"), edit[0], edit[1], 1)
		status := cl.postHeartbeat(ctx, r.IntN(len(cl.apiAddresses)), srv.name, text)
		cl.rec.update(func(h *History) { h.BadReports = append(h.BadReports, BadReport{text, status, isForeign}) })
	}
}

// invalidNames are names in the path of a report, as they are written there, that no server can
// have: processes would not decode them alike, or they would end a field of a request's head.
var invalidNames = []string{"%FF", "%ED%A0%80", "a%E2%82", "a%FFb", "%FF%2Fb", "a%0Ab", "a%00b", "%EF%BF%BD"}

// sendInvalidNames sends reports and deregistrations under invalid names, which are otherwise valid,
// to all replicas in turn until the context ends.
func (cl *cluster) sendInvalidNames(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 27))
	for n := 0; ctx.Err() == nil; n++ {
		srv, name := cl.servers[r.IntN(len(cl.servers))], invalidNames[r.IntN(len(invalidNames))]
		state := [...]string{"ready", "draining"}[r.IntN(2)]
		text, call := cl.heartbeatBody(srv, state), "/heartbeat"
		if r.IntN(3) == 0 {
			text, call = "", "/deregister"
		}
		status := cl.postReport(ctx, n%len(cl.apiAddresses), name+call, text)
		cl.rec.update(func(h *History) {
			h.BadReports = append(h.BadReports, BadReport{name + call + " " + text, status, false})
		})
		sleep(ctx, badReportInterval)
	}
}

// deadlyInterval is the time between two requests that crash the server that runs them.
const deadlyInterval = 450 * time.Millisecond

// sendDeadly sends requests that crash each server that runs them, each under a new ID and through
// any gateway, until the context ends.
func (l *load) sendDeadly(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 4))
	sleep(ctx, faultFreeStart)
	for n := 0; ctx.Err() == nil; n++ {
		q := Request{ID: fmt.Sprint("deadly-", n), Kind: Rates, Gateway: r.IntN(l.cluster.shape.Gateways), Organisation: "one", Content: deadlyContent}
		if !l.excluded[q.Gateway].Load() {
			l.wg.Go(func() {
				l.send(&q, false, 0)
				l.rec.update(func(h *History) { h.Requests = append(h.Requests, q) })
			})
		}
		sleep(ctx, deadlyInterval)
	}
}
