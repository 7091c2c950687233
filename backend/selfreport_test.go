package backend

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/selfreport"
)

var reporting = Protocol{
	Headers: DefaultHeaders,
	ParseCold: func(field string) (time.Duration, bool) {
		d, err := time.ParseDuration(field)
		return d, err == nil
	},
	ParseLimit: func(values []string) (rate float64, ok bool) {
		_, err := fmt.Sscan(values[0], &rate)
		return rate, err == nil
	},
}

// TestEachSelfReportFieldHasReader checks that each field of the catalogue has one reader,
// which parses a valid value and reports an invalid one.
func TestEachSelfReportFieldHasReader(t *testing.T) {
	good := map[selfreport.Field]string{selfreport.Limit: "4.1", selfreport.RetryAfter: "3", selfreport.Leaving: "1", selfreport.Cold: "2s"}
	readers := map[selfreport.Field]*fieldReader{}
	for i := range fieldReaders {
		readers[fieldReaders[i].field] = &fieldReaders[i]
	}
	assert.Equal(t, len(readers), len(fieldReaders))
	assert.Equal(t, len(fieldReaders), len(selfreport.Fields))
	for _, f := range selfreport.Fields {
		head := http.Header{}
		head.Set(readers[f].name(&reporting), good[f])
		r := reporting.SelfReport(http.StatusServiceUnavailable, head)
		assert.DeepEqual(t, r.Fields(), []selfreport.Field{f})
		head.Set(readers[f].name(&reporting), "odd")
		r = reporting.SelfReport(http.StatusServiceUnavailable, head)
		assert.Equal(t, len(r.Fields()), 0)
		assert.DeepEqual(t, r.UnreadableFields, []selfreport.UnreadableField{{Field: f, Values: []string{"odd"}}})
	}
	r := reporting.SelfReport(http.StatusOK, http.Header{"Content-Type": {"text/plain"}})
	assert.Assert(t, r.Empty())
}

func TestReadRetryAfter(t *testing.T) {
	const date = "Thu, 03 Dec 2026 10:00:00 GMT"
	for _, c := range []struct {
		status int
		values []string
		want   time.Duration
		unread bool
	}{
		{503, []string{"3"}, 3 * time.Second, false},
		{429, []string{"0.25"}, 250 * time.Millisecond, false},
		{503, []string{" 3 ", "3"}, 3 * time.Second, false},
		{503, []string{"0"}, 0, false},
		{503, []string{"Thu, 03 Dec 2026 10:00:07 GMT"}, 7 * time.Second, false},
		{503, []string{"Thu, 03 Dec 2026 09:00:00 GMT"}, 0, false},
		{503, []string{"100000000000"}, (1<<31 - 1) * time.Second, false},
		{200, []string{"3"}, 0, false},
		{301, []string{"odd"}, 0, false},
		{503, []string{"3", "4"}, 0, true},
		{503, []string{"3, 3"}, 0, true},
		{503, []string{""}, 0, true},
		{503, []string{"-3"}, 0, true},
		{503, []string{"1e9"}, 0, true},
		{503, []string{"NaN"}, 0, true},
		{503, []string{"0x3"}, 0, true},
		{503, []string{"soon"}, 0, true},
	} {
		r := reporting.SelfReport(c.status, http.Header{"Retry-After": c.values, "Date": {date}})
		assert.Equal(t, r.RetryAfter, c.want, "%q", c.values)
		assert.Equal(t, len(r.UnreadableFields) > 0, c.unread, "%q", c.values)
	}
	r := reporting.SelfReport(503, http.Header{"Retry-After": {date}})
	assert.Equal(t, len(r.UnreadableFields), 1, "accepted a date without the server's Date")
}

func TestReadLeaving(t *testing.T) {
	for _, c := range []struct {
		values          []string
		leaving, unread bool
	}{
		{[]string{"1"}, true, false},
		{[]string{"1", " 1"}, true, false},
		{[]string{"0"}, false, false},
		{[]string{"1", "0"}, false, true},
		{[]string{"yes"}, false, true},
		{[]string{""}, false, true},
	} {
		head := http.Header{}
		head[DefaultHeaders.Leaving] = c.values
		r := reporting.SelfReport(http.StatusOK, head)
		assert.Equal(t, r.Leaving, c.leaving, "%q", c.values)
		assert.Equal(t, len(r.UnreadableFields) > 0, c.unread, "%q", c.values)
	}
}

// FuzzSelfReport guards against field values that panic the parser or are accepted as a
// negative duration.
func FuzzSelfReport(f *testing.F) {
	f.Add("3", "1", "4.1", "2s")
	f.Add("1e999", "1, 1", "", "-2s")
	f.Fuzz(func(t *testing.T, retryAfter, leaving, limit, cold string) {
		head := http.Header{"Retry-After": {retryAfter}, "Date": {retryAfter}}
		head[DefaultHeaders.Leaving], head[DefaultHeaders.Limit], head[DefaultHeaders.Cold] = []string{leaving}, []string{limit}, []string{cold}
		r := reporting.SelfReport(http.StatusTooManyRequests, head)
		assert.Assert(t, r.RetryAfter >= 0)
		assert.Assert(t, len(r.Fields())+len(r.UnreadableFields) <= len(selfreport.Fields))
	})
}
