package fairshare

import (
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/demand"
	"github.com/loomkeel/loomkeel/internal/overload"
)

// TestPromisesAfterRateRises promises one return at a low rate. When the rate rises, further ones must be
// promised at once.
func TestPromisesAfterRateRises(t *testing.T) {
	now := time.Unix(1000, 0)
	var q returns
	q.setRate(0.007, now)
	if q.offer(now, 10*time.Second, time.Second) == 0 {
		t.Fatal("nothing was promised")
	}
	end := now.Add(2 * time.Second)
	for ; now.Before(end); now = now.Add(Interval) {
		q.setRate(10, now)
		q.expire(now)
		if q.offer(now, 10*time.Second, time.Second) > 0 {
			return
		}
	}
	t.Error("no further return was promised in 2 s at 10 a second")
}

// TestWaitingAfterIdleTime leaves slots idle for ten seconds, in which the gate is not asked. One
// request that waits afterwards must not count as many.
func TestWaitingAfterIdleTime(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(1)
	in := Input{
		Room: balance.Room{Slots: 36, Work: 100 * time.Millisecond}, Objective: time.Second,
		Rows: []demand.Row{{Key: demand.Key{Rank: 0}, Arrived: 100}, {Key: demand.Key{Rank: 1}, Arrived: 400}},
	}
	step := func(busy float64, waiting int) {
		now = now.Add(Interval)
		for i := range 20 {
			if g.Active() {
				g.Admit(now, overload.Request{Rank: i % 2, Deadline: now.Add(5 * time.Second), Objective: time.Second})
			}
		}
		in.ReportedAt, in.Room.Busy, in.Waiting = now, busy, waiting
		g.Update(now, in)
	}
	for range 40 {
		step(36, 0)
	}
	for range 40 {
		step(10, 0)
	}
	step(25, 1)
	if g.waiting > 100 {
		t.Errorf("one waiting request counts as %.0f", g.waiting)
	}
}
