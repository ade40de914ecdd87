package bootclock

import (
	"sync/atomic"
	"time"
)

// Clock tells the time by the time of day at its start and the boot clock since. It is
// never set, and goes on while the machine is suspended, which the steady clock behind
// time.Now does not count: a node that slept for some seconds must not take what it knew
// before for fresh.
//
// Reading the boot clock is a system call, reading the steady one is not. So Now goes by
// the steady clock, ahead by what Check found that it has missed. It is safe for
// concurrent use.
type Clock struct {
	start  time.Time
	steady func() time.Duration
	boot   func() time.Duration
	// missed is by how much the boot clock is ahead of the steady one, in nanoseconds.
	missed atomic.Int64
}

// NewClock returns a Clock of the machine.
func NewClock() *Clock {
	start, boot := time.Now(), Now()
	return NewClockFrom(start,
		func() time.Duration { return time.Since(start) },
		func() time.Duration { return time.Duration(Now() - boot) })
}

// NewClockFrom returns a Clock that starts at a time, by a steady clock and one that goes
// on while the machine is suspended, both since then.
func NewClockFrom(start time.Time, steady, boot func() time.Duration) *Clock {
	return &Clock{start: start.Round(0), steady: steady, boot: boot}
}

// Now returns the time. It has no monotonic reading: all its times compare with each other.
func (c *Clock) Now() time.Time {
	return c.start.Add(c.steady() + time.Duration(c.missed.Load()))
}

// missedSlack is by how much the two clocks may differ, read one after the other, without
// the machine having been suspended.
const missedSlack = 50 * time.Millisecond

// SyncNow reads the boot clock and returns the time by it. It is to be called when something
// begins that may be the first after a suspension: a request, a report, a round of a loop.
func (c *Clock) SyncNow() time.Time {
	missed := c.boot() - c.steady()
	if missed-time.Duration(c.missed.Load()) > missedSlack {
		c.missed.Store(int64(missed))
	}
	return c.Now()
}
