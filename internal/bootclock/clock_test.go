package bootclock

import (
	"testing"
	"time"
)

func TestClockGoesOnWhileSuspended(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	var steady, boot time.Duration
	c := NewClockFrom(start, func() time.Duration { return steady }, func() time.Duration { return boot })
	expect := func(what string, got time.Time, want time.Duration) {
		t.Helper()
		if got.Sub(start) != want {
			t.Errorf("%s: %v, want %v", what, got.Sub(start), want)
		}
	}
	steady, boot = time.Second, time.Second+missedSlack
	expect("no suspension", c.SyncNow(), time.Second)
	boot += 7 * time.Second
	expect("before it is looked for", c.Now(), time.Second)
	expect("as it is looked for", c.SyncNow(), boot)
	steady += time.Second
	boot += time.Second
	expect("afterwards", c.Now(), boot)
	boot += 3 * time.Second
	expect("a second one", c.SyncNow(), boot)
}

func TestClockOfTheMachine(t *testing.T) {
	c := NewClock()
	a, b := c.Now(), c.SyncNow()
	if b.Before(a) || time.Since(a).Abs() > time.Minute {
		t.Errorf("%v, then %v", a, b)
	}
}
