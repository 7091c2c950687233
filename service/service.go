// Package service talks to a plain HTTP service from the agent beside it.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/ledgepin/ledgepin/fault"
)

// MaxBody bounds the answer of a service in bytes.
const MaxBody = 4 << 20

// Call is one request to the service.
type Call struct {
	Method, Path, Type string
	Body               []byte
}

// Answer is the service's answer.
type Answer struct {
	Status int
	Type   string
	Body   []byte
}

// Client calls the service at one address.
type Client struct {
	addr string
	http *http.Client
}

// NewClient returns a client of the service at addr, an IP number and port.
func NewClient(addr string) *Client {
	// A connection for each call: on a kept one, a late second answer would be taken for the
	// next call's, and a call could be sent again when the connection has gone stale.
	t := &http.Transport{DisableKeepAlives: true}
	// A redirect is the caller's to follow: followed here, one call would be two.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{addr: addr, http: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

// Do calls the service once. Sent tells whether the service may have seen the
// call; it is false only if no connection could be opened.
func (c *Client) Do(ctx context.Context, call Call) (a Answer, sent bool, err error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.addr+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, false, fault.Wrap(err, fault.BadRequest, fault.StepCall, c.addr)
	}
	if call.Type != "" {
		req.Header.Set("Content-Type", call.Type)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, !dialFailed(err), fault.Wrap(err, fault.ServiceFailed, fault.StepCall, c.addr)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody+1))
	if err == nil && len(body) > MaxBody {
		err = fmt.Errorf("the answer is over %d bytes", MaxBody)
	}
	if err != nil {
		return Answer{}, true, fault.Wrap(err, fault.ServiceFailed, fault.StepCall, c.addr)
	}
	return Answer{Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"), Body: body}, true, nil
}

// dialFailed tells that no connection was opened.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
