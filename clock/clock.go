// Package clock is where ledgepin reads the time; no other code of the product does.
//
// A VM may be suspended for seconds. The steady clock of the kernel does not count that
// time, so a leader or a holder of a lease that went by it would wake up in office. The
// time of day counts it, and jumps for other reasons too. So all ages, leases, locks,
// windows and deadlines go by Now, which is steady and counts suspension.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Source reads the clocks of a VM.
type Source struct {
	// Read returns the steady time since some moment, and the time of day in Unix
	// nanoseconds.
	Read func() (monotonic time.Duration, wall int64)
	// Boot returns the steady time that counts suspension, since some moment.
	BootTime func() (time.Duration, error)
}

// Clock tells the time. A nil Clock is the one of the VM. It is safe for concurrent use.
type Clock struct {
	source Source
	// epoch is the time of day at the start, without a reading of the steady clock, so
	// that differences between times of this clock are its own.
	epoch          time.Time
	startMonotonic time.Duration
	startBootTime  time.Duration
	startWall      int64
	// shift is how far the time of day had moved against the steady clock at the newest
	// look, away the time of which the steady clock did not know.
	shift, suspended atomic.Int64
}

// noticed is the least move of the time of day against the steady clock that is looked
// into: the adjustment of a clock moves it by half a millisecond in a second at most.
const minShift = 5 * time.Millisecond

// New returns a clock.
func New(s Source) *Clock {
	c := &Clock{source: s}
	c.startMonotonic, c.startWall = s.Read()
	c.startBootTime, _ = s.BootTime()
	c.epoch = time.Unix(0, c.startWall)
	return c
}

// VM is the clock of this VM.
var VM = New(Source{Read: readClocks, BootTime: readBootTime})

var processStart = time.Now()

func readClocks() (time.Duration, int64) {
	now := time.Now()
	return now.Sub(processStart), now.UnixNano()
}

func readBootTime() (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano()), err
}

func (c *Clock) orVM() *Clock {
	if c == nil {
		return VM
	}
	return c
}

// Now returns the time, for differences. It looks like a time of day, which it was when the
// process began. It costs as much as time.Now: the clock that counts suspension, a system
// call, is read only when the time of day has moved against the steady one, as it does when
// a VM wakes up.
func (c *Clock) Now() time.Time {
	c = c.orVM()
	monotonic, wall := c.source.Read()
	monotonic -= c.startMonotonic
	shift := wall - c.startWall - int64(monotonic)
	if move := shift - c.shift.Load(); move > int64(minShift) || move < -int64(minShift) {
		c.measureSuspension(shift)
		monotonic, _ = c.source.Read()
		monotonic -= c.startMonotonic
	}
	return c.epoch.Add(monotonic + time.Duration(c.suspended.Load()))
}

// look finds out how much of the time the VM was suspended. A kernel that does not tell
// leaves it as it was: the time of day may have jumped for other reasons.
func (c *Clock) measureSuspension(shift int64) {
	if boot, err := c.source.BootTime(); err == nil {
		monotonic, _ := c.source.Read()
		c.suspended.Store(max(int64(boot-c.startBootTime)-int64(monotonic-c.startMonotonic), c.suspended.Load()))
	}
	c.shift.Store(shift)
}

// Since returns the time since t, which is of this clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t, which is of this clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Day returns the time of day, for people and for documents only.
func WallTime() time.Time { return time.Now() }

// Deadline returns the moment after a while, for the deadlines of connections, which the
// runtime takes by its own clock.
func Deadline(d time.Duration) time.Time { return time.Now().Add(d) }
