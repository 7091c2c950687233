package caller_test

import (
	"net/url"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/caller"
	"github.com/ledgepin/ledgepin/fault"
)

func TestParse(t *testing.T) {
	for _, c := range []struct {
		name string
		chat bool
		body string
		want *fault.Code // nil if the request is valid
	}{
		{"chat", true, `{"model":"m","messages":[{"role":"user","content":"hi"}]}`, nil},
		{"text parts", true, `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`, nil},
		{"prompt", false, `{"model":"m","prompt":"hi","stop":["a","b"],"max_tokens":3}`, nil},
		{"malformed", true, `{"model":`, fault.BadRequest},
		{"empty", true, ``, fault.BadRequest},
		{"two values", true, `{"model":"m","messages":[{"role":"user","content":"hi"}]}{}`, fault.BadRequest},
		{"no model", true, `{"messages":[{"role":"user","content":"hi"}]}`, fault.BadRequest},
		{"no messages", true, `{"model":"m","messages":[]}`, fault.BadRequest},
		{"picture", true, `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, fault.BadRequest},
		{"bad role", true, `{"model":"m","messages":[{"role":"boss","content":"hi"}]}`, fault.BadRequest},
		{"no prompt", false, `{"model":"m"}`, fault.BadRequest},
		{"two answers", false, `{"model":"m","prompt":"hi","n":2}`, fault.UnsupportedParameter},
		{"tools", true, `{"model":"m","tools":[],"messages":[{"role":"user","content":"hi"}]}`, fault.UnsupportedParameter},
		{"hot", false, `{"model":"m","prompt":"hi","temperature":3}`, fault.BadRequest},
		{"no tokens", false, `{"model":"m","prompt":"hi","max_tokens":0}`, fault.BadRequest},
		{"many stops", false, `{"model":"m","prompt":"hi","stop":["1","2","3","4","5"]}`, fault.BadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, err := caller.Parse([]byte(c.body), c.chat)
			if c.want != nil {
				assert.Assert(t, fault.Is(err, c.want), "%v", err)
				assert.Assert(t, c.want.NotRun)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, p.Request.Model, "m")
		})
	}
}

func TestServicePath(t *testing.T) {
	for _, c := range []struct{ in, want string }{
		{"/services/lic/checkout", "/checkout"},
		{"/services/lic/checkout/?a=b", "/checkout/?a=b"},
		{"/services/lic/", "/"},
		{"/services/lic/a%20b", "/a%20b"},
		{"/services/lic/%63heckout", "/checkout"},
		{"/services/lic//checkout", ""},
		{"/services/lic/x/../checkout", ""},
		{"/services/lic/./checkout", ""},
		{"/services/lic/x%2f..%2fcheckout", ""},
		{"/services/lic/checkout;x", ""},
		{"/services/lic/x%5ccheckout", ""},
	} {
		u, err := url.Parse(c.in)
		assert.NilError(t, err)
		got, err := caller.ServicePath(u, "lic")
		if c.want == "" {
			assert.Assert(t, fault.Is(err, fault.BadRequest), "%s gave %s", c.in, got)
			continue
		}
		assert.NilError(t, err, c.in)
		assert.Equal(t, got, c.want)
	}
}

// FuzzParse feeds arbitrary bodies to the parser.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"stop":"x"}`), true)
	f.Add([]byte(`{"model":"m","prompt":"hi","max_tokens":3}`), false)
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		p, err := caller.Parse(data, chat)
		if err != nil {
			assert.Assert(t, fault.From(err).Code.NotRun)
			return
		}
		assert.Assert(t, p.Request.Model != "")
		assert.Assert(t, p.Request.Prompt != "" || len(p.Request.Messages) > 0)
	})
}
