package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are fields that belong to one connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// canonical returns a set of field names as they stand in an http.Header.
func canonicalNames(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[textproto.CanonicalMIMEHeaderKey(name)] = true
	}
	return out
}

// forwarded returns the fields of a caller that go to a server: not those of
// the connection, nor the private ones that are no caller's to set. What servers read of
// callers is meant for them, though the caller's Connection field may name it: without
// its last event a caller would get all events again.
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

// perConnection returns the fields that a Connection field names.
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

// copyHead puts the fields of a server's answer before the caller.
func copyHeader(w http.ResponseWriter, in http.Header) {
	out := w.Header()
	drop := connectionFields(in)
	for name, values := range in {
		if !hopByHop[name] && !drop[name] {
			out[name] = values
		}
	}
	if _, ok := in["Content-Type"]; !ok {
		out["Content-Type"] = nil // none is guessed
	}
}
