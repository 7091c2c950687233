package route

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// TestCostUsesUnitOfLimit checks that requests are counted in the unit of the limit.
func TestCostUsesUnitOfLimit(t *testing.T) {
	tokens := Organisation{Unit: Tokens, PlainTokens: 200}
	assert.Equal(t, tokens.Cost(1500), 1500.0)
	assert.Equal(t, tokens.Cost(0), 200.0)
	requests := Organisation{Unit: Requests, PlainTokens: 200}
	assert.Equal(t, requests.Cost(1500), 1.0)
}

// TestTableSendsDigestsAndShowsNoKeys checks that gateways receive the digests of keys
// with a table, and that its JSON form contains neither keys nor digests.
func TestTableSendsDigestsAndShowsNoKeys(t *testing.T) {
	in := Table{Version: 1, Keyed: true, Organisations: []Organisation{{Name: "one", Unit: Tokens, Keys: []KeyDigest{DigestOf("secret")}}}}
	frame, err := cbor.Marshal(&in)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(frame), "secret"))
	var out Table
	assert.NilError(t, cbor.Unmarshal(frame, &out))
	out.Index()
	assert.Equal(t, out.OrganisationByKey("secret").Name, "one")
	shown, err := json.Marshal(&in)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(shown), `"name":"one"`) && !strings.Contains(string(shown), "keys"), string(shown))
}
