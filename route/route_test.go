package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/route"
)

func table(change func(*route.Table)) *route.Table {
	t := &route.Table{
		Version: 1,
		Routes: []route.Route{
			{Name: "a", Host: "Shop.example", Prefix: "/a/", Kind: route.Once, Timeout: time.Second, Services: []route.Weight{{Service: "one", Weight: 1}}},
			{Name: "deep", Host: "shop.example", Prefix: "/a/b/", Kind: route.Stream, Timeout: time.Second,
				Services: []route.Weight{{Service: "one", Weight: 9}, {Service: "two", Weight: 1}}},
		},
		Services: []route.Service{{Name: "one"}, {Name: "two"}},
	}
	if change != nil {
		change(t)
	}
	return t
}

func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		change func(*route.Table)
		want   string
	}{
		{"good", nil, ""},
		{"unknown service", func(t *route.Table) { t.Routes[1].Services[0].Service = "three" }, `routes[1] (deep): unknown service "three"`},
		{"same host and prefix", func(t *route.Table) { t.Routes[1].Prefix = "/a/" }, "routes[1] (deep): same host and prefix as routes[0]"},
		{"no weight", func(t *route.Table) { t.Routes[0].Services[0].Weight = 0 }, "routes[0] (a): the sum of the weights is 0"},
		{"negative weight", func(t *route.Table) { t.Routes[0].Services[0].Weight = -1 }, `routes[0] (a): service "one" has a negative weight`},
		{"no service", func(t *route.Table) { t.Routes[0].Services = nil }, "routes[0] (a): the sum of the weights is 0"},
		{"no timeout", func(t *route.Table) { t.Routes[0].Timeout = 0 }, "routes[0] (a): timeout must be positive"},
		{"no kind", func(t *route.Table) { t.Routes[0].Kind = "" }, `routes[0] (a): unknown kind ""`},
		{"prefix without final slash", func(t *route.Table) { t.Routes[0].Prefix = "/a" }, `routes[0] (a): host must not be empty, and prefix "/a" must begin and end with a slash`},
		{"duplicate service", func(t *route.Table) { t.Services[1].Name = "one" }, `services[1]: name "one" is empty or duplicate`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := table(tt.change).Validate()
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Error(t, err, tt.want)
		})
	}
}

func TestLookup(t *testing.T) {
	tab := table(nil)
	tab.Index()
	tests := []struct{ host, path, want string }{
		{"shop.example", "/a/x", "a"},
		{"SHOP.example:8080", "/a/b/x", "deep"},
		{"shop.example", "/a/b", "a"},
		{"shop.example", "/ab/", ""},
		{"other.example", "/a/x", ""},
	}
	for _, tt := range tests {
		got := ""
		if r := tab.Lookup(tt.host, tt.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, tt.want, "%s%s", tt.host, tt.path)
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := &table(nil).Routes[1]
	two := 0
	for i := range 1000 {
		if r.Pick(float64(i)/1000) == "two" {
			two++
		}
	}
	assert.Equal(t, two, 100)
}
