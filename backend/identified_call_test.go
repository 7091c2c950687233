package backend_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/backend"
)

// newIdentifyingServer returns a server that answers a request with its ID and target, a call with
// a name and its target, and one that it refuses with its target. order returns what to send,
// given all answers of a connection so far; an empty text waits for a further request.
func newIdentifyingServer(t *testing.T, name func(n int64) int64, order func(answers []string) []string) *rawServer {
	return newRawServer(t, func(r *rawServer, _ int64, c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for answers := []string(nil); ; {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			status, head, body := "200 OK", "X-Request-Id: "+req.Header.Get("X-Request-Id")+"\r\n", req.RequestURI
			if req.Header.Get("X-Request-Id") == "" {
				head, body = "", fmt.Sprintf("name-%d %s", name(r.requests.Add(1)), body)
				if strings.HasPrefix(req.RequestURI, "/refuse") {
					status, body = "503 Service Unavailable", req.RequestURI
				}
			}
			answers = append(answers, fmt.Sprintf("HTTP/1.1 %s\r\n%sKeep-Alive: timeout=60\r\nContent-Length: %d\r\n\r\n%s", status, head, len(body), body))
			for _, text := range order(answers) {
				if text == "" {
					_ = c.SetReadDeadline(time.Now().Add(aheadTime / 10))
					_, _ = br.Peek(1)
					_ = c.SetReadDeadline(time.Time{})
				}
				_, _ = io.WriteString(c, text)
			}
		}
	})
}

// call sends a call whose answer has an identifier, or a request if kind is empty. It returns the
// target in the answer.
func (r *rawServer) call(p *backend.Pool, kind, id, target string) (string, error) {
	if kind == "" {
		return r.askIncarnation(p, "s", id, target)
	}
	parse := func(body []byte) string {
		name, _, _ := strings.Cut(string(body), "/")
		return name
	}
	body, err := r.send(p, "", func(q *backend.Request) {
		q.Server, q.Target, q.Header = "s", target, http.Header{}
		q.Identity = &backend.Identity{Kind: kind, RequestID: id, Parse: parse}
	})
	return strings.TrimPrefix(body, parse([]byte(body))), err
}

// TestLateAnswerToIdentifiedCall guards against a call, or a request after it, that gets the
// answer to another one, whatever answers a server repeats, delays and reorders on a connection.
func TestLateAnswerToIdentifiedCall(t *testing.T) {
	const seeds, sends = 40, 24
	answered, connections := 0, 0
	for seed := range uint64(seeds) {
		// The server repeats up to three earlier answers, at any place, to a third of the requests.
		serverRng, rng := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
		s := newIdentifyingServer(t, func(n int64) int64 { return n }, func(answers []string) []string {
			out := answers[len(answers)-1:]
			for range max(serverRng.IntN(9)-5, 0) {
				out = slices.Insert(slices.Clone(out), serverRng.IntN(len(out)+1), []string{"", answers[serverRng.IntN(len(answers))]}[serverRng.IntN(2)])
			}
			return out
		})
		p := backend.NewPool()
		defer p.Close()
		for n := range sends {
			kind, target := []string{"", "", "copy", "hold", "hold", "hold"}[rng.IntN(6)*min(n, 1)], fmt.Sprint([]string{"/", "/refuse/"}[rng.IntN(6)/5], n)
			got, err := s.call(p, kind, fmt.Sprint("q", n), target)
			assert.Check(t, err != nil || got == target, "seed %d: %s %s got the answer to %s", seed, kind, target, got)
			if err == nil {
				answered++
			}
		}
		connections += int(s.connections.Load())
	}
	t.Logf("%d of %d answered, %d connections", answered, seeds*sends, connections)
	assert.Assert(t, answered > seeds*sends*9/10 && connections < answered/2)
}

// TestIdentifiedCallsShareConnections checks which calls share a connection: not two of one kind
// for one request, and none after an answer without an identifier. A server that repeats
// identifiers loses one call; after that, each has a connection.
func TestIdentifiedCallsShareConnections(t *testing.T) {
	type step struct {
		kind, id, target string
		connections      int64
	}
	steps := []step{
		{"", "q0", "/request", 1}, {"hold", "q1", "/hold", 1}, {"copy", "q1", "/copy", 1}, {"hold", "q2", "/hold", 1}, {"copy", "q1", "/stop", 2},
		{"hold", "q3", "/refuse", 2}, {"hold", "q1", "/hold", 3}, {"hold", "q4", "/hold", 3}, {"", "q4", "/request", 3},
	}
	repeated := []step{{"", "q0", "/request", 1}, {"hold", "q1", "/hold", 1}, {"hold", "q2", "/lost", 1}, {"hold", "q3", "/hold", 2}, {"hold", "q4", "/hold", 3}}
	for factor, steps := range [][]step{repeated, steps} {
		s := newIdentifyingServer(t, func(n int64) int64 { return n * int64(factor) }, func(answers []string) []string { return answers[len(answers)-1:] })
		p := backend.NewPool()
		defer p.Close()
		for _, step := range steps {
			got, err := s.call(p, step.kind, step.id, step.target)
			assert.Assert(t, (err != nil) == (step.target == "/lost") && (err != nil || got == step.target), "%+v: %q, %v", step, got, err)
			assert.Equal(t, s.connections.Load(), step.connections, "%+v", step)
		}
	}
}
