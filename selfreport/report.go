package selfreport

import (
	"slices"
	"time"
)

// Field identifies one thing that a server reports about itself, in logs and metrics.
type Field string

// The fields of a Report.
const (
	// Limit is the number of requests a second that the server accepts from all gateways
	// together.
	Limit Field = "limit"
	// RetryAfter is how long the gateway that was rejected should send the server no
	// requests.
	RetryAfter Field = "retry_after"
	// Leaving means that the server accepts no new work.
	Leaving Field = "leaving"
	// Cold is how much longer the server can serve only fewer requests than usual.
	Cold Field = "cold"
)

// Fields lists all fields.
var Fields = []Field{Limit, RetryAfter, Leaving, Cold}

// Report is what the head of one answer reports about its server.
type Report struct {
	// Sent is when the request was sent, Received when its answer arrived: the server wrote
	// the report between the two.
	Sent, Received time.Time
	// Limit is in requests a second; nil if the answer has none, which ends a limit.
	Limit *float64
	// RetryAfter is zero if the server requests no pause.
	RetryAfter time.Duration
	Leaving    bool
	// Cold is nil if the answer has no such field.
	Cold *time.Duration
	// UnreadableFields are the fields whose values can't be parsed. They change nothing.
	UnreadableFields []UnreadableField
}

// UnreadableField is a field whose values can't be parsed.
type UnreadableField struct {
	Field  Field
	Values []string
}

// Empty reports whether the answer has none of the fields.
func (r *Report) Empty() bool {
	return r.Limit == nil && r.RetryAfter == 0 && !r.Leaving && r.Cold == nil && len(r.UnreadableFields) == 0
}

// Unreadable reports whether a field is present and can't be parsed.
func (r *Report) Unreadable(f Field) bool {
	return slices.ContainsFunc(r.UnreadableFields, func(u UnreadableField) bool { return u.Field == f })
}

// Fields returns the fields that are present and can be parsed.
func (r *Report) Fields() []Field {
	var out []Field
	for _, f := range []struct {
		field Field
		named bool
	}{{Limit, r.Limit != nil}, {RetryAfter, r.RetryAfter > 0}, {Leaving, r.Leaving}, {Cold, r.Cold != nil}} {
		if f.named {
			out = append(out, f.field)
		}
	}
	return out
}
