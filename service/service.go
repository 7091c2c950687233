// Package service is the client with which an agent calls the plain HTTP service beside it.
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
	"github.com/ledgepin/ledgepin/internal/boundedhttp"
)

// MaxBodyBytes is the maximum size of a service's answer in bytes.
const MaxBodyBytes = 4 << 20

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

// NewClient returns a client of the service at addr, an IP address and port.
func NewClient(addr string) *Client {
	// A call on a kept connection that is stale could be sent again as well.
	t := boundedhttp.NewTransport()
	// Redirects are returned to the caller: following one would turn one call into two.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{addr: addr, http: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

// Do calls the service once. sent reports whether the service may have received the
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	if err == nil && len(body) > MaxBodyBytes {
		err = fmt.Errorf("the answer exceeds %d bytes", MaxBodyBytes)
	}
	if err != nil {
		return Answer{}, true, fault.Wrap(err, fault.ServiceFailed, fault.StepCall, c.addr)
	}
	return Answer{Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"), Body: body}, true, nil
}

// dialFailed reports whether err means that no connection was opened.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
