package backend

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/selfreport"
)

// fieldReader parses one header field of an answer.
type fieldReader struct {
	field selfreport.Field
	// name returns the field's name; empty if servers do not send it.
	name func(p *Protocol) string
	// applies reports whether the field is valid in an answer with a status; nil for all.
	applies func(status int) bool
	// read adds the values to the report and reports whether they could be parsed.
	read func(p *Protocol, values []string, head http.Header, to *selfreport.Report) bool
}

// fieldReaders parse all fields in which servers report on themselves.
var fieldReaders = []fieldReader{
	{field: selfreport.Limit, name: limitName, read: readLimit},
	{field: selfreport.RetryAfter, name: retryAfterName, applies: isOverload, read: readRetryAfter},
	{field: selfreport.Leaving, name: leavingName, read: readLeaving},
	{field: selfreport.Cold, name: coldName, read: readCold},
}

// SelfReport returns what a server reports about itself in the header of an answer.
func (p *Protocol) SelfReport(status int, head http.Header) selfreport.Report {
	var out selfreport.Report
	for i := range fieldReaders {
		r := &fieldReaders[i]
		name := r.name(p)
		if name == "" || r.applies != nil && !r.applies(status) {
			continue
		}
		values := head.Values(name)
		if len(values) > 0 && !r.read(p, values, head, &out) {
			out.UnreadableFields = append(out.UnreadableFields, selfreport.UnreadableField{Field: r.field, Values: values})
		}
	}
	return out
}

func limitName(p *Protocol) string {
	if p.ParseLimit == nil {
		return ""
	}
	return p.Headers.Limit
}

func readLimit(p *Protocol, values []string, _ http.Header, to *selfreport.Report) bool {
	rate, ok := p.ParseLimit(values)
	if ok {
		to.Limit = &rate
	}
	return ok
}

// retryAfterName returns the name defined in RFC 9110, section 10.2.3.
func retryAfterName(*Protocol) string { return "Retry-After" }

// isOverload reports whether an answer with this status rejects a request because of load.
// Retry-After has another meaning in a redirect.
func isOverload(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func readRetryAfter(_ *Protocol, values []string, head http.Header, to *selfreport.Report) bool {
	if !allEqual(values) {
		return false
	}
	text := strings.TrimSpace(values[0])
	if seconds, ok := parseSeconds(text); ok {
		to.RetryAfter = seconds
		return true
	}
	// The difference to the server's own Date does not depend on the gateway's clock.
	at, err := http.ParseTime(text)
	now, errNow := http.ParseTime(head.Get("Date"))
	if err != nil || errNow != nil {
		return false
	}
	to.RetryAfter = max(at.Sub(now), 0)
	return true
}

// parseSeconds parses a decimal number of seconds. It refuses other forms that strconv
// accepts: exponents, hexadecimal numbers and infinity.
func parseSeconds(text string) (time.Duration, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second)), true
}

func leavingName(p *Protocol) string { return p.Headers.Leaving }

// readLeaving parses 1 for a server that is leaving and 0 for one that is not.
func readLeaving(_ *Protocol, values []string, _ http.Header, to *selfreport.Report) bool {
	text := strings.TrimSpace(values[0])
	if !allEqual(values) || text != "0" && text != "1" {
		return false
	}
	to.Leaving = text == "1"
	return true
}

func coldName(p *Protocol) string {
	if p.ParseCold == nil {
		return ""
	}
	return p.Headers.Cold
}

func readCold(p *Protocol, values []string, _ http.Header, to *selfreport.Report) bool {
	d, ok := p.ParseCold(values[0])
	if !ok || !allEqual(values) {
		return false
	}
	to.Cold = &d
	return true
}

// allEqual reports whether all values of a field are the same.
func allEqual(values []string) bool {
	return !slices.ContainsFunc(values, func(v string) bool { return strings.TrimSpace(v) != strings.TrimSpace(values[0]) })
}
