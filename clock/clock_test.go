package clock

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeVM has clocks that a test sets.
type fakeVM struct{ monotonic, bootTime, wall atomic.Int64 }

func (v *fakeVM) source() Source {
	return Source{
		Read:     func() (time.Duration, int64) { return time.Duration(v.monotonic.Load()), v.wall.Load() },
		BootTime: func() (time.Duration, error) { return time.Duration(v.bootTime.Load()), nil },
	}
}

func (v *fakeVM) run(d time.Duration) {
	v.monotonic.Add(int64(d))
	v.bootTime.Add(int64(d))
	v.wall.Add(int64(d))
}

func (v *fakeVM) suspend(d time.Duration) {
	v.bootTime.Add(int64(d))
	v.wall.Add(int64(d))
}

// TestSuspensionCountsAndWallClockJumpsDoNot requires Now to include the time for which a VM was
// suspended and to ignore jumps of the wall clock.
func TestSuspensionCountsAndWallClockJumpsDoNot(t *testing.T) {
	v := &fakeVM{}
	v.wall.Store(time.Unix(1000, 0).UnixNano())
	v.bootTime.Store(int64(time.Hour))
	c := New(v.source())
	start := c.Now()
	want := time.Duration(0)
	check := func(name string) {
		t.Helper()
		got := c.Since(start)
		assert.Equal(t, got, want, name)
	}
	for _, step := range []struct {
		name         string
		do           func(d time.Duration)
		d, countedAs time.Duration
	}{
		{"runs", v.run, 3 * time.Second, 3 * time.Second},
		{"suspended", v.suspend, 4 * time.Second, 4 * time.Second},
		{"runs after it", v.run, time.Second, time.Second},
		{"wall clock forward", func(d time.Duration) { v.wall.Add(int64(d)) }, 5 * time.Second, 0},
		{"wall clock back", func(d time.Duration) { v.wall.Add(-int64(d)) }, 9 * time.Second, 0},
		{"suspended again, with the wall clock set back", func(d time.Duration) { v.suspend(d); v.wall.Add(-2 * int64(d)) }, 6 * time.Second, 6 * time.Second},
		{"runs on", v.run, time.Minute, time.Minute},
	} {
		step.do(step.d)
		want += step.countedAs
		check(step.name)
	}
}

// TestClockNeverGoesBack requires Now never to decrease, whatever its sources return.
func TestClockNeverGoesBack(t *testing.T) {
	v := &fakeVM{}
	s := v.source()
	failing := false
	s.BootTime = func() (time.Duration, error) {
		if failing {
			return 0, errors.New("not known here")
		}
		return time.Duration(v.bootTime.Load()), nil
	}
	c := New(s)
	last := c.Now()
	for n := range 1000 {
		switch n % 7 {
		case 1:
			v.suspend(time.Duration(n) * time.Millisecond)
		case 2:
			v.wall.Add(-int64(time.Hour))
		case 3:
			failing = !failing
		case 4:
			v.wall.Add(int64(2 * time.Hour))
		default:
			v.run(time.Millisecond)
		}
		now := c.Now()
		assert.Assert(t, !now.Before(last), "step %d", n)
		last = now
	}
}

// TestFollowsRuntimeClock requires the clock of this VM to advance with the runtime's clock.
func TestFollowsRuntimeClock(t *testing.T) {
	var c *Clock
	began, at := time.Now(), c.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed, counted := time.Since(began), c.Since(at)
	assert.Assert(t, counted >= 20*time.Millisecond && counted <= elapsed+time.Second, "%v, %v", counted, elapsed)
}

// exemptPackages are not part of the product: they simulate its environment or measure it.
var exemptPackages = []string{"standin", "soak", "policybench", "cmd/spreadbench", "cmd/soak", "cmd/policybench", "clock"}

// TestOnlyClockPackageReadsClocks requires the product to read the time through this package only.
func TestOnlyClockPackageReadsClocks(t *testing.T) {
	assert.NilError(t, filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := filepath.ToSlash(strings.TrimPrefix(path, "../"))
		if d.IsDir() {
			for _, tool := range exemptPackages {
				if name == tool || name == "target" || name == ".git" {
					return filepath.SkipDir
				}
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, call := range []string{"time.Now()", "time.Since(", "time.Until(", "context.WithDeadline(", "ClockGettime("} {
			assert.Check(t, !strings.Contains(string(source), call), "%s calls %s", name, call)
		}
		return nil
	}))
}

func BenchmarkNow(b *testing.B) {
	var c *Clock
	for b.Loop() {
		c.Now()
	}
}
