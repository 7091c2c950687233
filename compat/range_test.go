package compat_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/compat"
)

func TestRangeValid(t *testing.T) {
	for _, c := range []struct {
		r    compat.Range
		want bool
	}{
		{compat.Range{Least: 3, Most: 4}, true},
		{compat.Single(1), true},
		{compat.Single(compat.MaxVersion), true},
		{compat.Range{Least: 1, Most: compat.MaxVersion}, true},
		{compat.Range{}, false},
		{compat.Range{Least: 3}, false},
		{compat.Range{Most: 4}, false},
		{compat.Range{Least: 4, Most: 3}, false},
		{compat.Range{Least: -4, Most: 3}, false},
		{compat.Range{Least: -4, Most: -3}, false},
		{compat.Range{Least: 3, Most: compat.MaxVersion + 1}, false},
		{compat.Range{Least: 1 << 53, Most: 1 << 53}, false},
	} {
		assert.Equal(t, c.r.Valid(), c.want, "%d..%d", c.r.Least, c.r.Most)
	}
}

func TestCommon(t *testing.T) {
	for _, c := range []struct {
		a, b    compat.Range
		version int
		ok      bool
	}{
		{compat.Range{Least: 3, Most: 4}, compat.Single(3), 3, true},
		{compat.Range{Least: 3, Most: 4}, compat.Range{Least: 3, Most: 4}, 4, true},
		{compat.Range{Least: 3, Most: 4}, compat.Range{Least: 4, Most: 9}, 4, true},
		{compat.Range{Least: 1, Most: 9}, compat.Range{Least: 3, Most: 4}, 4, true},
		{compat.Range{Least: 3, Most: 4}, compat.Single(2), 0, false},
		{compat.Range{Least: 3, Most: 4}, compat.Range{Least: 5, Most: 6}, 0, false},
		{compat.Range{Least: 3, Most: 4}, compat.Range{Least: 4, Most: 3}, 0, false},
		{compat.Range{Least: 3, Most: 4}, compat.Range{Least: 1, Most: 1 << 53}, 0, false},
		{compat.Range{}, compat.Range{}, 0, false},
	} {
		version, ok := compat.Common(c.a, c.b)
		assert.Equal(t, ok, c.ok, "%v and %v", c.a, c.b)
		if ok {
			assert.Equal(t, version, c.version, "%v and %v", c.a, c.b)
		}
	}
}

// TestCommonReturnsHighestVersion compares Common with a search through both ranges, in
// either order of arguments.
func TestCommonReturnsHighestVersion(t *testing.T) {
	ends := rapid.IntRange(-2, 12)
	rapid.Check(t, func(t *rapid.T) {
		a := compat.Range{Least: ends.Draw(t, "a least"), Most: ends.Draw(t, "a most")}
		b := compat.Range{Least: ends.Draw(t, "b least"), Most: ends.Draw(t, "b most")}
		want, found := 0, false
		for v := 1; v <= 12 && a.Valid() && b.Valid(); v++ {
			if a.Contains(v) && b.Contains(v) {
				want, found = v, true
			}
		}
		for _, pair := range [][2]compat.Range{{a, b}, {b, a}} {
			got, ok := compat.Common(pair[0], pair[1])
			if ok != found || ok && got != want {
				t.Fatalf("%v and %v: %d %t, want %d %t", pair[0], pair[1], got, ok, want, found)
			}
		}
	})
}

func TestRangeString(t *testing.T) {
	assert.Equal(t, fmt.Sprint(compat.Range{Least: 3, Most: 4}), "3 to 4")
	assert.Equal(t, fmt.Sprint(compat.Single(3)), "3")
}
