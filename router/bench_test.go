package router_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/ledgepin/ledgepin/placement"
	"github.com/ledgepin/ledgepin/router"
)

func BenchmarkSubmitWhileWaiting(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCore(20, 35)
			c.SetLimits(1<<30, 10, time.Second)
			for i := range n + 1000 {
				r := request(fmt.Sprint("w", i))
				r.TTFT = time.Hour
				c.Submit(start, r, 0)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				r := request(fmt.Sprint("n", i))
				r.TTFT = time.Hour
				c.Submit(start, r, 0)
				c.Cancel(start, r.ID)
			}
		})
	}
}

// BenchmarkRecords measures the memory of the decision record of a request that
// completed.
func BenchmarkRecords(b *testing.B) {
	const records = 4096
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		v := placement.NewView("z", rand.New(rand.NewPCG(1, 1)))
		for i := range 55 {
			role := []string{"prefill", "decode"}[i%2]
			v.Set(placement.ServerConfig{Name: fmt.Sprint("assist-llm-", i), Zone: "z", Role: role, Models: []string{"m"}, Slots: 64, LinkRate: 1e9})
			v.SetConnected(fmt.Sprint("assist-llm-", i), true)
		}
		c := router.New(v, router.Options{Policy: router.DefaultPolicy(), QueueLimit: 100, RetryPercent: 10, MaxRecords: records, Name: "entry-1"})
		before := heap()
		for i := range records {
			runRequest(c, fmt.Sprintf("0123456789abcdef%08d", i))
		}
		b.ReportMetric((heap()-before)/records, "B/record")
		runtime.KeepAlive(c)
	}
}

func runRequest(c *router.Core, id string) {
	rs := effectsOf[router.Reserve](c.Submit(start, request(id), 0))
	for _, r := range rs {
		c.Reserved(start, r.Server, r.ID, true, "", placement.Load{Slots: 64, Models: []string{"m"}})
	}
	c.Prefilled(start, rs[0].Server, rs[0].ID, kv(), 0, time.Millisecond)
	c.Imported(start, rs[1].Server, rs[1].ID)
	c.Token(start, rs[1].ID, 1)
	c.Done(start, rs[1].ID, 0)
}
