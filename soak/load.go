package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Constants of the load.
const (
	requestsPerSecond = 60
	// disconnectShare is the share of callers that disconnect before their answer is complete.
	disconnectShare = 0.06
	// idleConnections is the number of idle connections that all callers keep to a gateway.
	idleConnections = 8
)

// organisations are the organisations of requests, repeated by their frequency. No table has held a
// key of the last one.
var organisations = []string{"one", "one", "one", "two", "two", "two", "two", "hot", "hot", unknownOrganisation}

// Contents of requests. deadlyContent crashes each server that runs it.
const (
	defaultContent = "x"
	deadlyContent  = "deadly"
)

// unknownOrganisation is the organisation of callers with an unknown API key.
const unknownOrganisation = "nobody"

// Sizes of requests, and the limit of the organisation "hot" in tokens per second. At sixty
// requests per second it requests about 2.5 times its limit.
const (
	requestTokens = 1100
	promptTokens  = 300
	hotRate       = 5500
)

// deadlines are how long callers wait for complete answers.
var deadlines = map[RequestKind]time.Duration{Checkout: 3 * time.Second, Rates: 3 * time.Second, Review: 8 * time.Second, Desk: 8 * time.Second, Urgent: 8 * time.Second, Background: 8 * time.Second}

// load sends requests of all kinds to all gateways that accept callers.
type load struct {
	cluster *cluster
	rec     *recorder
	rng     *rand.Rand
	// rateFactor multiplies the request rate.
	rateFactor atomic.Int64
	// pairRate is the number of pairs of requests of different urgency per second.
	pairRate atomic.Int64
	excluded []atomic.Bool // gateways that are not ready, to which the platform sends no callers
	clients  []*http.Client
	wg       sync.WaitGroup
	lastID   int
	seed     uint64
	// textMarker selects the texts of the events of streams.
	textMarker string
	// ended is set once no more requests are sent.
	ended atomic.Bool
}

func newLoad(cl *cluster, rec *recorder, seed uint64) *load {
	l := &load{cluster: cl, rec: rec, seed: seed, rng: rand.New(rand.NewPCG(seed, 2)), excluded: make([]atomic.Bool, cl.shape.Gateways)}
	l.rateFactor.Store(1)
	l.pairRate.Store(pairsPerSecond)
	for range cl.shape.Gateways {
		l.clients = append(l.clients, &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: 8 * time.Second,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}})
	}
	return l
}

// run sends requests until the context ends, and waits for open ones.
func (l *load) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := time.Duration(l.rng.ExpFloat64() * float64(time.Second) / float64(requestsPerSecond*l.rateFactor.Load()))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
			l.sendOne()
		}
	}
	l.ended.Store(true)
	l.wg.Wait()
}

// sendOne sends one request.
func (l *load) sendOne() {
	l.lastID++
	kinds := []RequestKind{Checkout, Checkout, Rates, Review, Desk, Desk}
	organisation := organisations[l.rng.IntN(len(organisations))]
	q := Request{ID: fmt.Sprintf("q%d", l.lastID), Kind: kinds[l.rng.IntN(len(kinds))], Gateway: l.rng.IntN(l.cluster.shape.Gateways), Organisation: organisation, Content: defaultContent}
	if l.excluded[q.Gateway].Load() {
		return // the platform sends callers elsewhere
	}
	disconnects := l.rng.Float64() < disconnectShare
	after := time.Duration(l.rng.Float64() * float64(300*time.Millisecond))
	if q.Kind == Desk {
		seed := l.seed<<32 + uint64(l.lastID)
		l.wg.Go(func() { l.runDeskCaller(q, seed) })
		return
	}
	if q.Kind == Review {
		q.Content = "review " + q.ID + " " + l.textMarker
	}
	l.wg.Go(func() {
		l.send(&q, disconnects, after)
		l.rec.update(func(h *History) { h.Requests = append(h.Requests, q) })
	})
}

func (l *load) send(q *Request, disconnects bool, after time.Duration) {
	deadline := deadlines[q.Kind]
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	if disconnects {
		t := time.AfterFunc(after, func() {
			l.rec.update(func(*History) { q.LeftAt = l.rec.now() })
			cancel()
		})
		defer t.Stop()
	}
	q.Sent = l.rec.now()
	status, body, err := l.do(ctx, q, deadline)
	l.rec.update(func(*History) {
		q.Ended, q.Status, q.Body, q.Cut = l.rec.now(), status, body, err != nil
		var op *net.OpError
		q.Unconnected = errors.As(err, &op) && op.Op == "dial"
	})
}

func (l *load) do(ctx context.Context, q *Request, deadline time.Duration) (int, string, error) {
	req, err := l.newRequest(ctx, q, deadline)
	if err != nil {
		return 0, "", err
	}
	resp, err := l.clients[q.Gateway].Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	r := &firstByteReader{Reader: resp.Body, now: l.rec.now}
	body, err := readAll(r)
	if q.Kind.isStream() {
		body = dropComments(body)
	}
	l.rec.update(func(*History) { q.FirstByte, q.RetryAfter = r.first, resp.Header.Get("Retry-After") })
	return resp.StatusCode, body, err
}

func readAll(r io.Reader) (string, error) {
	data, err := io.ReadAll(r)
	return string(data), err
}
