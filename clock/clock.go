// Package clock provides the time to all packages of the product, none of which reads a clock
// itself.
//
// A VM may be suspended for seconds. The kernel's monotonic clock doesn't count that time, so after
// the suspension a leader or a lease holder that used it would still act as one. The wall clock
// counts it, but also jumps for other reasons. So all ages, leases, locks, windows and deadlines
// use Now, which is monotonic and counts suspension.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Source reads the clocks of a VM.
type Source struct {
	// Read returns the monotonic time since some moment, and the wall time in Unix nanoseconds.
	Read func() (monotonic time.Duration, wall int64)
	// BootTime returns the monotonic time since some moment, including suspension.
	BootTime func() (time.Duration, error)
}

// Clock is a monotonic clock that counts suspension. A nil Clock is the clock of this VM. It is
// safe for concurrent use.
type Clock struct {
	source Source
	// epoch is the wall time at the start, without a monotonic reading, so that the difference of
	// two times is computed from this clock only.
	epoch          time.Time
	startMonotonic time.Duration
	startBootTime  time.Duration
	startWall      int64
	// shift is the change of the wall time relative to the monotonic clock at the last
	// measurement. suspended is the time that the monotonic clock didn't count. Both are in
	// nanoseconds.
	shift, suspended atomic.Int64
}

// minShift is the smallest change of the wall time relative to the monotonic clock that causes a
// measurement. Clock adjustment changes it by at most half a millisecond a second.
const minShift = 5 * time.Millisecond

// New returns a clock that reads s.
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

// Now returns the time, for differences. Its value is the wall time at which the process started
// plus the time since then. It costs as much as time.Now: the clock that counts suspension, which
// needs a system call, is read only when the wall time has shifted relative to the monotonic
// clock, as it does when a VM resumes.
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

// measureSuspension updates the time for which the VM was suspended. If the kernel can't report it,
// the value stays, since the wall time may have jumped for other reasons.
func (c *Clock) measureSuspension(shift int64) {
	if boot, err := c.source.BootTime(); err == nil {
		monotonic, _ := c.source.Read()
		c.suspended.Store(max(int64(boot-c.startBootTime)-int64(monotonic-c.startMonotonic), c.suspended.Load()))
	}
	c.shift.Store(shift)
}

// Since returns the time elapsed since t, a time of this clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time remaining until t, a time of this clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// WallTime returns the wall time, only for display and for documents.
func WallTime() time.Time { return time.Now() }

// Deadline returns the wall time after d, for deadlines of connections, which the runtime compares
// with its own clock.
func Deadline(d time.Duration) time.Time { return time.Now().Add(d) }
