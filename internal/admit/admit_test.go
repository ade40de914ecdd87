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
		wait   time.Duration
	}{
		{"accepted", func(*Input) {}, "", 50 * time.Millisecond},
		{"expected latency exceeds deadline", func(in *Input) { in.ExpectedLatency = 2 * time.Second }, ReasonDeadline, 0},
		{"wait is bounded by the deadline", func(in *Input) { in.ExpectedLatency = 970 * time.Millisecond }, "", 30 * time.Millisecond},
		{"queue full", func(in *Input) { in.Queued = 5 }, ReasonQueueFull, 0},
		{"reserved capacity, lowest priority", func(in *Input) { in.InFlight, in.Priority = 75, 0 }, ReasonPriority, 0},
		{"reserved capacity, highest priority", func(in *Input) { in.InFlight, in.Priority = 75, 9 }, "", 50 * time.Millisecond},
		{"no capacity left", func(in *Input) { in.InFlight, in.Priority = 100, 9 }, ReasonPriority, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := base
			tt.change(&in)
			d := Decide(in)
			if d.Reason != tt.reason {
				t.Fatalf("reason %q, want %q", d.Reason, tt.reason)
			}
			if d.Reason == "" && d.WaitUntil.Sub(t0) != tt.wait {
				t.Errorf("waits for %v, want %v", d.WaitUntil.Sub(t0), tt.wait)
			}
			if d.Reason != "" && d.RetryAfter < minRetryAfter {
				t.Errorf("RetryAfter is %v, below the minimum", d.RetryAfter)
			}
		})
	}
}

func hasTurn(w *Waiter) bool {
	select {
	case <-w.Ready():
		return true
	default:
		return false
	}
}

func TestQueueOrder(t *testing.T) {
	var q Queue
	a, _ := q.Enqueue(2)
	b, _ := q.Enqueue(2)
	if _, ok := q.Enqueue(2); ok {
		t.Error("a third waiter was added with a limit of two")
	}
	if !hasTurn(a) || hasTurn(b) {
		t.Error("the first waiter, and only it, must have the turn")
	}
	q.Wake()
	if !hasTurn(a) || hasTurn(b) {
		t.Error("after Wake the first waiter, and only it, must have the turn")
	}
	q.Remove(a)
	if !hasTurn(b) {
		t.Error("the next waiter must have the turn after the first is removed")
	}
	q.Remove(b)
	if q.Len() != 0 {
		t.Errorf("%d waiters left, want 0", q.Len())
	}
}
