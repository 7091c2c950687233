package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestConnectionShare(t *testing.T) {
	for _, c := range []struct {
		name           string
		limit, sharing int
		load           float64
		want           int
	}{
		{"no bound", 0, 5, 1, 0},
		{"an even load", 100, 5, 0.2, 10},
		{"a load that is not known", 100, 5, 0, 10},
		{"less than the others", 100, 5, 0.01, 10},
		{"all requests", 100, 5, 1, 38},
		{"all requests of many gateways", 270, 30, 1, 95},
		{"more gateways than connections", 100, 600, 0, 1},
		{"alone", 100, 1, 1, 50},
	} {
		assert.Equal(t, ConnectionShare(c.limit, c.sharing, c.load), c.want, c.name)
	}
}

// TestConnectionSharesStayWithinLimit guards against gateways that together open more connections than a
// server accepts, however the load is divided.
func TestConnectionSharesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rates := rapid.SliceOfN(rapid.IntRange(0, 100_000), 1, 50).Draw(rt, "requests")
		limit := rapid.IntRange(len(rates)*7, 2000).Draw(rt, "limit") // with fewer, each still has one
		total, sum := 0, 0
		for _, r := range rates {
			total += r
		}
		for _, own := range rates {
			f := NewFleet("", "")
			f.Others = OtherGateways{Gateways: len(rates), Known: len(rates), Requests: total - own}
			sum += ConnectionShare(limit, len(rates), f.LoadShare(own))
		}
		assert.Assert(rt, sum <= limit, "%d of %d", sum, limit)
	})
}

// TestLoadShare checks that gateways which are not known count like the others.
func TestLoadShare(t *testing.T) {
	share := func(own, gateways, known, others int) float64 {
		f := NewFleet("", "")
		f.Others = OtherGateways{Gateways: gateways, Known: known, Requests: others}
		return f.LoadShare(own)
	}
	assert.Equal(t, share(100, 5, 5, 400), 0.2)
	assert.Equal(t, share(100, 5, 3, 200), 0.2)
	assert.Equal(t, share(100, 5, 5, 0), 1.0)
	assert.Equal(t, share(100, 5, 1, 0), 0.0, "no other gateway is known")
	assert.Equal(t, share(0, 5, 5, 0), 0.0)
}
