package standin

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// SetMiddleware wraps the server's handler: the returned handler receives each request first and may
// answer it itself. Nil removes the middleware.
func (b *Backend) SetMiddleware(middleware func(own http.Handler) http.Handler) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.middleware = middleware
}

// handle adds the server's limits and self-report to the answer, and passes the request to the
// middleware, or to the server's handler if there is none.
func (b *Backend) handle(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	middleware, limit, lookup := b.middleware, b.limit, b.senderLookup
	b.mu.Unlock()
	if limit != nil {
		values := limit()
		w.Header()[http.CanonicalHeaderKey(b.headers.Limit)] = values
		record := LimitRecord{At: time.Now(), ID: r.Header.Get(b.headers.RequestID), Path: r.URL.Path, Limits: values}
		if record.ID == "" && lookup != nil {
			record.Sender = lookup(r.RemoteAddr)
		}
		b.mu.Lock()
		b.limitRecords = append(b.limitRecords, record)
		b.mu.Unlock()
	}
	if !b.applySelfReport(w, r) {
		return
	}
	own := http.Handler(http.HandlerFunc(b.serve))
	if middleware != nil {
		own = middleware(own)
	}
	own.ServeHTTP(w, r)
}

// SetLimit adds to each answer the values that limit returns as the field of the server's limit;
// an empty result states no limit, and a nil function sends no field. Requests are recorded from
// then on (LimitRecords).
func (b *Backend) SetLimit(limit func() []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// SetSenderLookup sets a function that returns the sender of a request by its remote address, for the
// records of calls without an ID.
func (b *Backend) SetSenderLookup(lookup func(remote string) string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.senderLookup = lookup
}

// LimitRecord is one request of any kind that arrived while a limit function was set.
type LimitRecord struct {
	At time.Time
	// ID is empty for calls that aren't requests of callers.
	ID, Path string
	// Sender is the sender of a call without an ID, by SetSenderLookup.
	Sender string
	// Limits are the limits that the answer stated.
	Limits []string
}

// LimitRecords returns the requests that arrived while a limit function was set.
func (b *Backend) LimitRecords() []LimitRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]LimitRecord(nil), b.limitRecords...)
}

// SetText sets the text of the n-th event of a run for a request body; nil for the event's number
// alone.
func (b *Backend) SetText(text func(body string, n int) string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.text = text
}

// WriteEvent returns an event with number n whose text may have several lines.
func WriteEvent(n int, text string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "id: %d\n", n)
	for line := range strings.SplitSeq(text, "\n") {
		out.WriteString("data: " + line + "\n")
	}
	out.WriteString("\n")
	return out.String()
}
