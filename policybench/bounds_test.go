package policybench

import (
	"bytes"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/strict"
)

// bounds is the content of testdata/bounds.yaml.
type bounds struct {
	Runs []bound `yaml:"runs"`
}

// bound is what one run must reach.
type bound struct {
	Mix    string   `yaml:"mix"`
	Load   float64  `yaml:"load"`
	Faults []string `yaml:"faults"`
	// OfBound is the minimum goodput as a share of the upper bound on goodput.
	OfBound float64 `yaml:"of_bound"`
	// OverBaseline is the minimum goodput as a multiple of the best baseline's. The baselines only
	// run if it is set.
	OverBaseline float64 `yaml:"over_baseline"`
	// Wasted is the maximum share of prefill work whose result is discarded.
	Wasted float64 `yaml:"wasted"`
	// Interactive is the minimum goodput of each interactive class.
	Interactive float64 `yaml:"interactive"`
	// Held is the maximum time for which memory is held for a disconnected caller.
	Held strict.Duration `yaml:"held"`
}

const caseLength = time.Minute

func mixByName(name string) Mix {
	if name == "azienda" {
		return Azienda()
	}
	return Dunaj()
}

func TestBounds(t *testing.T) {
	data, err := os.ReadFile("testdata/bounds.yaml")
	assert.NilError(t, err)
	var file bounds
	assert.NilError(t, strict.Decode("bounds.yaml", data, &file))
	assert.Assert(t, len(file.Runs) > 20)
	for _, b := range file.Runs {
		t.Run(b.Mix, func(t *testing.T) {
			t.Parallel()
			c := Case{Mix: mixByName(b.Mix), Load: b.Load, Policy: Ledgepin, Faults: b.Faults, Seed: 1, Length: caseLength}
			r := Run(c)
			var table bytes.Buffer
			r.Write(&table)
			t.Log("\n" + table.String())
			assert.Equal(t, len(r.Violations), 0, "%v", r.Violations)
			assert.Assert(t, r.Goodput >= b.OfBound*r.Bound, "goodput %.3f of %.3f, want %.2f", r.Goodput, r.Bound, b.OfBound)
			assert.Assert(t, r.Wasted <= b.Wasted, "wasted %.4f, want at most %.4f", r.Wasted, b.Wasted)
			for i, cl := range r.Classes {
				assert.Assert(t, !c.Mix.Classes[i].Interactive || cl.Goodput() >= b.Interactive, "%s %.3f", cl.Name, cl.Goodput())
				assert.Assert(t, cl.HeldAfterDisconnect <= b.Held.D(), "%s held %s", cl.Name, cl.HeldAfterDisconnect)
			}
			if b.OverBaseline > 0 {
				best := bestBaseline(c)
				assert.Assert(t, r.Goodput >= b.OverBaseline*best, "goodput %.3f, best baseline %.3f", r.Goodput, best)
			}
		})
	}
}

func bestBaseline(c Case) float64 {
	best := 0.0
	for _, p := range []string{RoundRobin, LeastOutstanding, SmallestTotal} {
		c.Policy = p
		best = max(best, Run(c).Goodput)
	}
	return best
}

// TestSameSeedSameResult guards against results that depend on anything but the case and its seed.
func TestSameSeedSameResult(t *testing.T) {
	c := Case{Mix: Azienda(), Load: 1.2, Policy: Ledgepin, Faults: []string{DecodeDies, EntryDies}, Seed: 7, Length: 20 * time.Second}
	var a, b bytes.Buffer
	Run(c).Write(&a)
	Run(c).Write(&b)
	assert.Equal(t, a.String(), b.String())
}

// TestFaultsHaveEffect checks that each fault changes the result. A bound under a fault could
// otherwise hold because the fault was never injected.
func TestFaultsHaveEffect(t *testing.T) {
	run := func(faults ...string) string {
		var out bytes.Buffer
		r := Run(Case{Mix: Azienda(), Load: 1.0, Policy: Ledgepin, Faults: faults, Seed: 3, Length: 20 * time.Second})
		r.Faults = nil
		r.Write(&out)
		return out.String()
	}
	noFault := run()
	for _, f := range Faults() {
		assert.Assert(t, run(f) != noFault, "%s had no effect", f)
	}
	assert.Assert(t, slices.Contains(Faults(), DecodeDies))
}
