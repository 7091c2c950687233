package standin

import (
	"net/http"
	"time"
)

// SelfReport is what one answer of a server reports about the server.
type SelfReport struct {
	// RetryAfter rejects the request as not run, with these values of Retry-After; nil to serve
	// it.
	RetryAfter []string
	// Leaving are the values of the header by which a server announces that it leaves; nil for
	// none.
	Leaving []string
}

// SelfReportRecord is one request of any kind with the self-report in its answer.
type SelfReportRecord struct {
	At time.Time
	// ID is empty for calls that aren't requests of callers.
	ID, Method, Path string
	SelfReport
}

// SetSelfReport sets the function that returns the self-report of each answer; nil for none.
// Requests are recorded from the first report on (SelfReportRecords).
func (b *Backend) SetSelfReport(report func(r *http.Request) SelfReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.selfReport = report
}

// SelfReportRecords returns the requests that arrived since answers first had a self-report.
func (b *Backend) SelfReportRecords() []SelfReportRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]SelfReportRecord(nil), b.reportRecords...)
}

// applySelfReport adds the server's self-report to the answer. It returns false if that rejects
// the request, which is answered then.
func (b *Backend) applySelfReport(w http.ResponseWriter, r *http.Request) bool {
	b.mu.Lock()
	selfReport, recording := b.selfReport, len(b.reportRecords) > 0
	b.mu.Unlock()
	if selfReport == nil && !recording {
		return true
	}
	a := SelfReportRecord{At: time.Now(), ID: r.Header.Get(b.headers.RequestID), Method: r.Method, Path: r.URL.Path}
	if selfReport != nil {
		a.SelfReport = selfReport(r)
	}
	b.mu.Lock()
	b.reportRecords = append(b.reportRecords, a)
	b.mu.Unlock()
	if a.Leaving != nil {
		w.Header()[http.CanonicalHeaderKey(b.headers.Leaving)] = a.Leaving
	}
	if a.RetryAfter == nil {
		return true
	}
	w.Header()["Retry-After"] = a.RetryAfter
	if a.ID != "" {
		w.Header().Set(b.headers.RequestID, a.ID)
		b.arrive(r, a.ID, "")
	}
	b.refuse(w)
	return false
}

// RejectFor returns a self-report that rejects every request and requests a pause of some seconds.
func RejectFor(seconds string) func(*http.Request) SelfReport {
	return func(*http.Request) SelfReport { return SelfReport{RetryAfter: []string{seconds}} }
}

// ReportLeaving is a self-report that announces that the server leaves.
func ReportLeaving(*http.Request) SelfReport { return SelfReport{Leaving: []string{"1"}} }
