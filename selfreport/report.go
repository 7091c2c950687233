package selfreport

import (
	"slices"
	"time"
)

// Field names one thing that a server says of itself, for logs and metrics.
type Field string

// The fields.
const (
	// Limit is the requests a second that the server takes from all gateways together.
	Limit Field = "limit"
	// RetryAfter is how long the server wants no requests of the gateway that it turns away.
	RetryAfter Field = "retry_after"
	// Leaving tells that the server takes no new work.
	Leaving Field = "leaving"
	// Cold is how much longer the server bears fewer requests than usual.
	Cold Field = "cold"
)

// Fields are all of them.
var Fields = []Field{Limit, RetryAfter, Leaving, Cold}

// Report is what the head of one answer says of its server.
type Report struct {
	// Sent is when the request went out, Heard when its answer came: the server said it in
	// between.
	Sent, Received time.Time
	// Limit is in requests a second; nil if the answer names none, which ends a limit.
	Limit *float64
	// RetryAfter is zero if the server does not ask to be left alone.
	RetryAfter time.Duration
	Leaving    bool
	// Cold is nil if the answer does not tell.
	Cold *time.Duration
	// Unread are the fields whose values can't be read. They change nothing.
	UnreadableFields []UnreadableField
}

// Unread is a field that can't be read.
type UnreadableField struct {
	Field  Field
	Values []string
}

// Empty tells whether the answer says nothing.
func (r *Report) Empty() bool {
	return r.Limit == nil && r.RetryAfter == 0 && !r.Leaving && r.Cold == nil && len(r.UnreadableFields) == 0
}

// Unreadable tells whether a field is there and can't be read.
func (r *Report) Unreadable(f Field) bool {
	return slices.ContainsFunc(r.UnreadableFields, func(u UnreadableField) bool { return u.Field == f })
}

// Says returns the fields that the answer names and that can be read.
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
