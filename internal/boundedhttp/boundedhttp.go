// Package boundedhttp has the HTTP transport for requests to processes whose answers may be no
// answers.
package boundedhttp

import (
	"context"
	"net"
	"net/http"

	"github.com/ledgepin/ledgepin/internal/sock"
)

// MaxHeadBytes bounds the head of an answer.
const MaxHeadBytes = 32 << 10

// NewTransport returns a transport with a connection for each request: an answer that doesn't name
// its request can't be told from a late second answer to the one before on its connection.
func NewTransport() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: MaxHeadBytes, DialContext: dial}
}

var dialer net.Dialer

// dial opens a connection on which an answer without a length that was cut off is an error.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return sock.Checked(c, 0), nil
}
