// Package boundedhttp has the HTTP transport for requests to processes whose answers may be no
// answers.
package boundedhttp

import "net/http"

// MaxHeadBytes bounds the head of an answer.
const MaxHeadBytes = 32 << 10

// NewTransport returns a transport with a connection for each request: an answer that doesn't name
// its request can't be told from a late second answer to the one before on its connection.
func NewTransport() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: MaxHeadBytes}
}
