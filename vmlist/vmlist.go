// Package vmlist reads the platform's list of live and leaving VMs.
//
// The list lags behind, so it is one signal among others: a server's own report that it is
// leaving takes effect at once.
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/boundedhttp"
)

// State is the state that the platform reports for a VM.
type State string

// The states of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one entry of the list.
type VM struct {
	// Name is the name of the VM's server in the settings.
	Name string `json:"name"`
	// Address is the VM's IP address.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// Path is the HTTP path of the list.
const Path = "/v1/vms"

// maxListBytes bounds the size of the list.
const maxListBytes = 4 << 20

// Client reads the list at one address.
type Client struct {
	addr string
	http *http.Client
}

// NewClient returns a client of the platform at addr, an IP address and port.
func NewClient(addr string) *Client {
	return &Client{addr: addr, http: &http.Client{Transport: boundedhttp.NewTransport()}}
}

// List returns the platform's current list of VMs.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+Path, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, fault.StepLink, c.addr)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fault.Wrap(err, fault.LinkLost, fault.StepLink, c.addr)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fault.New(fault.LinkLost, fault.StepLink, c.addr, fmt.Sprintf("status %d", resp.StatusCode))
	}
	var out []VM
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err == nil {
		err = json.Unmarshal(data, &out)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.LinkLost, fault.StepLink, c.addr)
	}
	return out, nil
}
