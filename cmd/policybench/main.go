// Command policybench runs the policy benchmark and prints its tables.
package main

import (
	"flag"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/policybench"
)

func main() {
	mix := flag.String("mix", "", "run only this mix: azienda or dunaj")
	policy := flag.String("policy", "", "run only policies whose name contains this")
	fault := flag.String("fault", "", "faults to inject together, separated by +; all injects each in its own run")
	load := flag.Float64("load", 0, "run only this load, as a share of capacity")
	length := flag.Duration("length", time.Minute, "virtual time in which requests arrive")
	seed := flag.Uint64("seed", 1, "seed of the random numbers")
	flag.Parse()

	var cases []policybench.Case
	for _, m := range []policybench.Mix{policybench.Azienda(), policybench.Dunaj()} {
		if *mix != "" && m.Name != *mix {
			continue
		}
		for _, p := range policybench.Policies() {
			if !strings.Contains(p, *policy) {
				continue
			}
			for _, l := range loads(*load) {
				for _, f := range faults(*fault) {
					cases = append(cases, policybench.Case{Mix: m, Policy: p, Load: l, Faults: f, Seed: *seed, Length: *length})
				}
			}
		}
	}
	for _, r := range run(cases) {
		r.Write(os.Stdout)
	}
}

func loads(only float64) []float64 {
	if only > 0 {
		return []float64{only}
	}
	return []float64{0.5, 0.8, 1.0, 1.2, 1.5}
}

func faults(name string) [][]string {
	if name == "" {
		return [][]string{nil}
	}
	if name != "all" {
		return [][]string{strings.Split(name, "+")}
	}
	out := [][]string{nil}
	for _, f := range policybench.Faults() {
		out = append(out, []string{f})
	}
	return append(out, []string{policybench.DecodeDies, policybench.EntryDies})
}

// run runs the cases on all cores and returns the results in the order of the cases.
func run(cases []policybench.Case) []policybench.Result {
	out := make([]policybench.Result, len(cases))
	var wg sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, c := range cases {
		slots <- struct{}{}
		wg.Go(func() {
			out[i] = policybench.Run(c)
			<-slots
		})
	}
	wg.Wait()
	return out
}
