package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// badReportEvery is the time between two reports that can't be read.
const badReportInterval = 150 * time.Millisecond

// spoilt are ways in which a report about a server can't be read, or is another server's:
// what stands in the place of what.
var unreadableEdits = [][2]string{
	{`"state":"ready"`, `"state":"odd"`}, {`"slots":16`, `"slots":"many"`}, {`"slots":16`, `"slots":1e300`}, {`"zone":`, `"place":`}, {`"version":"v1",`, ``},
	{`"service":`, "\"serv\xff\":"}, {`"sequence":`, `"sequence":-`}, {`"born":`, `"born":-`}, {`"born":`, `"born":1.`}, {`"address":"127`, `"address":"nowhere-127`},
	{`}`, ``}, {`{`, `[{`}, {`"coldRemainingMs":`, `"coldRemainingMs":null,"was":`},
}

// foreign are ways in which a report can be read and is another server's. A replica that does
// not know the server yet can't tell.
var foreignEdits = [][2]string{{`"address":"127.0.0.1`, `"address":"127.0.0.9`}, {`"service":"`, `"service":"other-`}}

// badReports sends reports about the servers that can't be read, or that another writer must have
// written, until the context ends.
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

// deadlyEvery is the time between two tries of a caller whose request ends servers.
const deadlyInterval = 450 * time.Millisecond

// deadly sends a request that ends each server which runs it, again and again, under
// another ID and through any gateway.
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
