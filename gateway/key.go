package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/route"
)

// authorization is the header field with a caller's key.
const authorization = "Authorization"

// bearerKey returns the key of a caller: a single field with the scheme Bearer in any case, blanks,
// and one word. Anything else is not a key, so that a gateway and a server can't find different
// keys in the same request.
func bearerKey(fields []string) (string, bool) {
	if len(fields) != 1 {
		return "", false
	}
	scheme, key, found := strings.Cut(strings.Trim(fields[0], " \t"), " ")
	key = strings.TrimLeft(key, " \t")
	if !found || !strings.EqualFold(scheme, "Bearer") || key == "" || strings.ContainsAny(key, " \t,") {
		return "", false
	}
	return key, true
}

// staleTableRetry is the Retry-After for a caller whose key may be newer than the routing table: a
// gateway is connected to its next replica within about that time.
const staleTableRetry = 300 * time.Millisecond

// identify finds the organisation of a request. A public route requires no key, but a known
// organisation is still passed to the server. Only a gateway that is connected to control refuses
// an unknown key for good: another one may lack the table that introduced it.
func (g *Gateway) identify(table *route.Table, q *request, h http.Header) *refusal {
	if !table.Keyed {
		return nil
	}
	key, ok := bearerKey(h[authorization])
	if ok {
		q.organisation = table.OrganisationByKey(key)
	}
	if q.organisation != nil || q.route.Public {
		return nil
	}
	if !g.links.connected() {
		return &refusal{route: q.route.Name, status: http.StatusServiceUnavailable, reason: "the key may be newer than the routing table", retryAfter: staleTableRetry}
	}
	return &refusal{route: q.route.Name, status: http.StatusUnauthorized, reason: "no known key"}
}

// setOrganisation replaces everything that a caller states about its organisation by the
// organisation found. The caller's key is not forwarded. Fields with an underscore in place of a
// hyphen are removed too, since some servers treat them as the same field.
func (g *Gateway) setOrganisation(table *route.Table, q *request) {
	if !table.Keyed {
		return
	}
	field := g.cfg.Protocol.Headers.Organisation
	for name := range q.send.Header {
		plain := http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-"))
		if plain == authorization || plain == field {
			delete(q.send.Header, name)
		}
	}
	if q.organisation != nil {
		q.send.Header.Set(field, q.organisation.Name)
	}
}
