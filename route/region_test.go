package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/route"
)

func TestRegionsFor(t *testing.T) {
	for _, c := range []struct {
		name                string
		route, organisation []string
		want                []string
		ok                  bool
	}{
		{"neither restricts", nil, nil, nil, true},
		{"route only", []string{"a"}, nil, []string{"a"}, true},
		{"organisation only", nil, []string{"b", "c"}, []string{"b", "c"}, true},
		{"both", []string{"a", "b"}, []string{"b", "c"}, []string{"b"}, true},
		{"nothing in common", []string{"a"}, []string{"b"}, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &route.Route{Regions: c.route}
			got, ok := r.RegionsFor(&route.Organisation{Regions: c.organisation})
			assert.DeepEqual(t, got, c.want)
			assert.Equal(t, ok, c.ok)
		})
	}
	got, ok := (&route.Route{Regions: []string{"a"}}).RegionsFor(nil)
	assert.DeepEqual(t, got, []string{"a"})
	assert.Assert(t, ok)
}
