package bootclock

import (
	"sync/atomic"
	"time"
)

// Clock computes the current time as the wall-clock time at its start plus the time passed since
// then, including the time that the machine was suspended. Setting the wall clock does not affect
// it. The monotonic clock of time.Now stops while the machine is suspended; with it, a node would
// treat state from before a suspension of several seconds as current.
//
// Reading the boot clock is a system call; reading the monotonic clock is not. Now therefore uses
// the monotonic clock and adds the suspended time that SyncNow last measured. A Clock is safe for
// concurrent use.
type Clock struct {
	start     time.Time
	monotonic func() time.Duration
	boot      func() time.Duration
	// suspended is how far the boot clock is ahead of the monotonic clock, in nanoseconds.
	suspended atomic.Int64
}

// NewClock returns a Clock that uses the clocks of the machine.
func NewClock() *Clock {
	start, boot := time.Now(), Now()
	return NewClockFrom(start,
		func() time.Duration { return time.Since(start) },
		func() time.Duration { return time.Duration(Now() - boot) })
}

// NewClockFrom returns a Clock that starts at the time start. The functions monotonic and boot
// return the time passed since then, without and with the time that the machine was suspended.
func NewClockFrom(start time.Time, monotonic, boot func() time.Duration) *Clock {
	return &Clock{start: start.Round(0), monotonic: monotonic, boot: boot}
}

// Now returns the current time. The result has no monotonic clock reading, so that all times of a
// Clock are comparable.
func (c *Clock) Now() time.Time {
	return c.start.Add(c.monotonic() + time.Duration(c.suspended.Load()))
}

// suspensionThreshold is the largest difference of the two clocks that does not count as a
// suspension, because the clocks are read one after the other.
const suspensionThreshold = 50 * time.Millisecond

// SyncNow reads the boot clock, corrects the Clock for any suspension, and returns the current
// time. Call it at the start of any work that may be the first after a suspension, such as a
// request, a report or an iteration of a loop.
func (c *Clock) SyncNow() time.Time {
	suspended := c.boot() - c.monotonic()
	if suspended-time.Duration(c.suspended.Load()) > suspensionThreshold {
		c.suspended.Store(int64(suspended))
	}
	return c.Now()
}
