package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/route"
)

// maxTokenSum is more than any number of tokens that a real request states.
const maxTokenSum = 1 << 31

// assertBounded checks that the values read from a caller's header fields are within bounds whose
// sums can't overflow.
func assertBounded(t *testing.T, tokens, hint, deadline string) {
	t.Helper()
	const timeout = 20 * time.Second
	limit := requestTimeout(deadline, timeout)
	assert.Assert(t, limit >= 0 && limit <= timeout, "deadline %q: %v", deadline, limit)
	headers := backend.DefaultHeaders
	in := http.Header{}
	in.Set(headers.Tokens, tokens)
	in.Set(headers.LengthHint, hint)
	w := parseWork(&headers, in, &route.Service{Name: "s"})
	assert.Assert(t, w.Prompt >= 0 && w.Prompt < maxTokenSum && w.Expected >= 0 && w.Expected < maxTokenSum, "tokens %q, hint %q: %+v", tokens, hint, w)
	prompt, maxOutput := parseTokens(tokens)
	assert.Assert(t, prompt >= 0 && maxOutput >= 0 && prompt+maxOutput < 2*maxTokenSum, "tokens %q: %d, %d", tokens, prompt, maxOutput)
}

// TestOutOfRangeHeadersAreBounded checks that numbers beyond those of any real request are bounded.
// Without bounds, such a length hint reserves a negative amount at an engine, the tokens of a
// request count as negative against its limit, and a long deadline expires at once.
func TestOutOfRangeHeadersAreBounded(t *testing.T) {
	for _, number := range []string{"NaN", "Inf", "1e300", "1e19", "9223372036854775807", "99999999999999999999"} {
		t.Run(number, func(t *testing.T) {
			assertBounded(t, "1,1", number, "1")
			assertBounded(t, number+",1", "1", "1")
			assertBounded(t, "1,"+number, "1", "1")
			assertBounded(t, number+","+number, "1", "1")
			assertBounded(t, "1,1", "1", number)
			if number != "NaN" {
				assert.Equal(t, requestTimeout(number, time.Minute), time.Minute)
			}
		})
	}
}

// FuzzCallerHeaders parses arbitrary texts as the header fields of a caller.
func FuzzCallerHeaders(f *testing.F) {
	for _, seed := range [][3]string{{"1460,300", "120", "5000"}, {"NaN", "Inf", "1e300"}, {"-1,2,3", "-0", "0x1p-2"}, {" 7 , 8 ", "1_0", ""}} {
		f.Add(seed[0], seed[1], seed[2], "close, x-a")
	}
	f.Fuzz(func(t *testing.T, tokens, hint, deadline, connection string) {
		assertBounded(t, tokens, hint, deadline)
		for name := range connectionFields(http.Header{"Connection": {connection}}) {
			assert.Assert(t, !strings.Contains(name, ","), name)
		}
	})
}
