// Command 5 plays case 5 of the second review: connections between a gateway and a server are
// reset while the server answers long requests without a length.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/platform"
	"github.com/ledgepin/ledgepin/review/cluster"
)

const (
	// requests is the number of requests that are under way at once; at least least of them must
	// arrive. The connections of a half of them are reset, at one gateway of three.
	requests = 6
	least    = 2
	// bodyBytes is the length of a request's body: the most that the limits of the configuration
	// allow. answerBytes is the length of a server's answer.
	bodyBytes   = 4 << 20
	answerBytes = 8000
	serverID    = "i-1"
	serviceName = "lic-broker"
)

const document = `{"version":1,"routes":[{"name":"r-1","host":"h","pathPrefix":"/checkout/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"lic-broker","maxAttempts":1,"sessionAffinity":false,"resumable":false}],` +
	`"services":[{"name":"lic-broker","healthCheck":"/health","maxConnections":110,"protocol":"h1","tls":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

func main() { os.Exit(run()) }

func run() int {
	record, err := cluster.NewRecord("review/5/record.txt")
	if err != nil {
		return cluster.CantRun
	}
	defer record.Close()
	c, err := cluster.Start(cluster.Size{Controls: 3, Gateways: 3})
	if err != nil {
		record.Note("the deployment does not start: %v", err)
		return cluster.CantRun
	}
	defer c.Close()
	code, err := play(c, record)
	if err != nil {
		record.Note("the case could not run: %v", err)
		return cluster.CantRun
	}
	record.Note("exit %d", code)
	return code
}

// play sends the requests and resets connections, and returns whether MIXED was broken.
func play(c *cluster.Cluster, record *cluster.Record) (int, error) {
	s, err := startServer(record)
	if err != nil {
		return 0, err
	}
	defer s.ln.Close()
	p, err := startProxy(s.ln.Addr().String())
	if err != nil {
		return 0, err
	}
	defer p.ln.Close()
	if err := c.Put(document); err != nil {
		return 0, err
	}
	c.Report(cluster.Server{ID: serverID, Service: serviceName, Address: p.ln.Addr().String()}, nil)
	if err := c.AwaitReady(); err != nil {
		return 0, err
	}
	if err := cluster.Await(10*time.Second, func() bool { return send(c.Callers[0], "warm", []byte("x")).status == http.StatusOK }); err != nil {
		return 0, err
	}
	record.Note("the deployment serves; %d requests of %d bytes follow", requests, bodyBytes)
	var wg sync.WaitGroup
	answers := make([]answer, requests)
	for n := range requests {
		wg.Go(func() {
			answers[n] = send(c.Callers[0], fmt.Sprint("r-", n), bytes.Repeat([]byte("b"), bodyBytes))
		})
	}
	// A busy machine may not send all of them in time; the server holds none for over a second.
	_ = cluster.Await(time.Second, func() bool { return s.halvesSent() == requests })
	arrived := s.halvesSent()
	if arrived < least {
		return 0, fmt.Errorf("only %d of %d requests have arrived", arrived, requests)
	}
	time.Sleep(100 * time.Millisecond) // until the halves have reached the gateway
	if cluster.Trouble() {
		record.Note("reset_conns: %d of the gateway's %d connections to the server are reset", p.reset(arrived/2), arrived)
	}
	close(s.resume)
	wg.Wait()
	return judge(answers, record), nil
}

// judge reports whether a caller got a success whose body is not the server's whole body.
func judge(answers []answer, record *cluster.Record) int {
	code := cluster.Held
	for n, a := range answers {
		record.Note("r-%d: status %d, length field %q, body of %d bytes, signature %q, error %v", n, a.status, a.length, len(a.body), a.signature, a.err)
		whole := bytes.Equal(a.body, answerTo(fmt.Sprint("r-", n)))
		if a.err == nil && a.status/100 == 2 && !whole {
			record.Note("MIXED: r-%d got a success that looks complete, with %d of the %d bytes of the server's body", n, len(a.body), answerBytes)
			code = cluster.Broken
		}
	}
	return code
}

// answer is what a caller got. err is set if the answer is incomplete, or there is none.
type answer struct {
	status            int
	length, signature string
	body              []byte
	err               error
}

// send sends a request as a caller does.
func send(gateway, id string, body []byte) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+gateway+"/checkout/1", bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	h := &platform.Protocol.Headers
	req.Host = "h"
	req.Header.Set(h.RequestID, id)
	req.Header.Set(h.Deadline, "3000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, length: resp.Header.Get("Content-Length"), signature: resp.Header.Get(h.Signature), body: data, err: err}
}

// answerTo returns the body of the server's answer to a request.
func answerTo(id string) []byte {
	return bytes.Repeat([]byte(id+" "), answerBytes)[:answerBytes]
}

// server is a plain server. It answers a long request before it has read the body, without a
// length, holds the connection open, and reads the rest of the body later.
type server struct {
	ln     net.Listener
	record *cluster.Record
	// resume is closed when the held connections go on.
	resume chan struct{}

	mu     sync.Mutex
	halves int
}

func startServer(record *cluster.Record) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{ln: ln, record: record, resume: make(chan struct{})}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

func (s *server) halvesSent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.halves
}

// serve serves the only request of a connection.
func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(windowBytes)
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	h := &platform.Protocol.Headers
	if req.URL.Path == "/health" {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nLedgepin-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", serverID)
		return
	}
	id := req.Header.Get(h.RequestID)
	if want := req.Header.Get(h.ExpectInstance); want != "" && want != serverID {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", h.RequestID, id, h.NotRun)
		return
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed-%s\r\nConnection: close\r\n\r\n", h.RequestID, id, h.Signature, id)
	body := answerTo(id)
	if req.ContentLength < bodyBytes {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, head+string(body))
		return
	}
	s.record.Note("server: runs %s and sends the first half of its answer, before it has read the body of %s bytes", id, strconv.FormatInt(req.ContentLength, 10))
	if _, err := io.WriteString(conn, head+string(body[:answerBytes/2])); err != nil {
		return
	}
	s.mu.Lock()
	s.halves++
	s.mu.Unlock()
	<-s.resume
	n, err := io.Copy(io.Discard, req.Body)
	s.record.Note("server: has read %d bytes of the body of %s: %v", n, id, err)
	if err != nil {
		return
	}
	_, err = conn.Write(body[answerBytes/2:])
	s.record.Note("server: has sent the second half of the answer to %s: %v", id, err)
}
