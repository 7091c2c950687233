package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the header fields that belong to a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// canonicalNames returns a set of field names in the canonical form used by http.Header.
func canonicalNames(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[textproto.CanonicalMIMEHeaderKey(name)] = true
	}
	return out
}

// forwardedHeader returns the header fields of a caller that are forwarded to a server: neither
// those of the connection nor the private ones, which callers may not set. Fields that servers read
// from callers are forwarded even if the caller's Connection field lists them: without its last
// event ID, a caller would get all events again.
func (g *Gateway) forwardedHeader(in http.Header) http.Header {
	out := make(http.Header, len(in)+4)
	drop := connectionFields(in)
	for name, values := range in {
		if !hopByHop[name] && (!drop[name] || g.serverHeaders[name]) {
			out[name] = values
		}
	}
	for _, name := range g.privateHeaders {
		out.Del(name)
	}
	return out
}

// connectionFields returns the fields that a Connection field lists.
func connectionFields(in http.Header) map[string]bool {
	var out map[string]bool
	for _, field := range in["Connection"] {
		for _, name := range strings.Split(field, ",") {
			if out == nil {
				out = map[string]bool{}
			}
			out[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}

// copyHeader copies the header fields of a server's answer to the caller's.
func copyHeader(w http.ResponseWriter, in http.Header) {
	out := w.Header()
	drop := connectionFields(in)
	for name, values := range in {
		if !hopByHop[name] && !drop[name] {
			out[name] = values
		}
	}
	if _, ok := in["Content-Type"]; !ok {
		out["Content-Type"] = nil // keeps net/http from guessing one
	}
}
