package bootclock

import (
	"testing"
	"time"
)

// TestClockIncludesSuspension checks that Now includes a suspension after SyncNow has found it, and
// that a difference up to suspensionThreshold is ignored.
func TestClockIncludesSuspension(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	var monotonic, boot time.Duration
	c := NewClockFrom(start, func() time.Duration { return monotonic }, func() time.Duration { return boot })
	expect := func(step string, got time.Time, want time.Duration) {
		t.Helper()
		if got.Sub(start) != want {
			t.Errorf("%s: %v, want %v", step, got.Sub(start), want)
		}
	}
	monotonic, boot = time.Second, time.Second+suspensionThreshold
	expect("no suspension", c.SyncNow(), time.Second)
	boot += 7 * time.Second
	expect("suspended, before SyncNow", c.Now(), time.Second)
	expect("suspended, SyncNow", c.SyncNow(), boot)
	monotonic += time.Second
	boot += time.Second
	expect("running again", c.Now(), boot)
	boot += 3 * time.Second
	expect("second suspension", c.SyncNow(), boot)
}

// TestNewClock checks that the machine's clock does not run backwards and is near the time of day.
func TestNewClock(t *testing.T) {
	c := NewClock()
	a, b := c.Now(), c.SyncNow()
	if b.Before(a) || time.Since(a).Abs() > time.Minute {
		t.Errorf("Now returned %v, then SyncNow %v", a, b)
	}
}
