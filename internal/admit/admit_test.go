package admit

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_800_000_000, 0)

func TestDecide(t *testing.T) {
	base := Input{Now: t0, Deadline: t0.Add(time.Second), ExpectedLatency: 100 * time.Millisecond, QueueLimit: 4, MaxWait: 50 * time.Millisecond, Capacity: 100, Priority: 5}
	tests := []struct {
		name   string
		change func(in *Input)
		reason Reason
		giveUp time.Duration
	}{
		{"taken", func(*Input) {}, "", 50 * time.Millisecond},
		{"too late to be answered", func(in *Input) { in.ExpectedLatency = 2 * time.Second }, ReasonDeadline, 0},
		{"waits no longer than helps", func(in *Input) { in.ExpectedLatency = 970 * time.Millisecond }, "", 30 * time.Millisecond},
		{"queue full", func(in *Input) { in.Queued = 5 }, ReasonQueueFull, 0},
		{"room left for the urgent", func(in *Input) { in.InFlight, in.Priority = 75, 0 }, ReasonPriority, 0},
		{"the urgent gets it", func(in *Input) { in.InFlight, in.Priority = 75, 9 }, "", 50 * time.Millisecond},
		{"no room at all", func(in *Input) { in.InFlight, in.Priority = 100, 9 }, ReasonPriority, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := base
			tt.change(&in)
			d := Decide(in)
			if d.Reason != tt.reason {
				t.Fatalf("reason %q, want %q", d.Reason, tt.reason)
			}
			if d.Reason == "" && d.WaitUntil.Sub(t0) != tt.giveUp {
				t.Errorf("gives up after %v, want %v", d.WaitUntil.Sub(t0), tt.giveUp)
			}
			if d.Reason != "" && d.RetryAfter < minRetry {
				t.Errorf("advice %v", d.RetryAfter)
			}
		})
	}
}

func ready(t *Waiter) bool {
	select {
	case <-t.Ready():
		return true
	default:
		return false
	}
}

func TestQueueIsInOrder(t *testing.T) {
	var q Queue
	a, _ := q.Enqueue(2)
	b, _ := q.Enqueue(2)
	if _, ok := q.Enqueue(2); ok {
		t.Error("a third joined a queue of two")
	}
	if !ready(a) || ready(b) {
		t.Error("the first has the turn, and only the first")
	}
	q.Wake()
	if !ready(a) || ready(b) {
		t.Error("a freed slot is the first one's")
	}
	q.Remove(a)
	if !ready(b) {
		t.Error("the next has the turn when the first leaves")
	}
	q.Remove(b)
	if q.Len() != 0 {
		t.Errorf("%d still wait", q.Len())
	}
}
