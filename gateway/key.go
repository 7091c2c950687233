package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/route"
)

// authorization is the field in which callers name their key.
const authorization = "Authorization"

// bearer returns the key that a caller names: one field, the scheme Bearer in any case,
// blanks and one word. All else is no key, so that a server and a gateway can't read
// two different ones.
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

// unsureRetry is when a caller should come back whose key may be newer than the table:
// a gateway has the next replica within about that time.
const staleTableRetry = 300 * time.Millisecond

// identify finds the organisation of a request. A public route wants no key; the
// organisation of one that is known is named to the server all the same. A key that is
// not known is refused for good only by a gateway that is in touch with control: another
// one may lack the table that brought it.
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

// name puts the organisation of a request in the place of all that its caller said of
// it. Its key goes no further. Fields with an underscore for a hyphen are dropped too,
// since some servers read them as the same.
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
