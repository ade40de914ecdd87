package eventsim

import (
	"slices"
	"testing"
	"time"
)

var t0 = time.Unix(1_800_000_000, 0)

// TestEventOrder schedules events at different times, at the same time, and from an event.
func TestEventOrder(t *testing.T) {
	s := New(t0)
	var order []string
	record := func(name string) func() { return func() { order = append(order, name) } }
	s.After(2*time.Second, record("late"))
	s.After(time.Second, func() {
		order = append(order, "first")
		s.After(0, record("scheduled by the first"))
	})
	s.At(t0.Add(time.Second), record("second at that time"))
	s.RunUntil(t0.Add(1500 * time.Millisecond))
	if want := []string{"first", "second at that time", "scheduled by the first"}; !slices.Equal(order, want) {
		t.Errorf("events %v, want %v", order, want)
	}
	s.Run()
	if got := order[len(order)-1]; got != "late" || !s.Now().Equal(t0.Add(2*time.Second)) {
		t.Errorf("last event %s at %v, want late at 2s", got, s.Now().Sub(t0))
	}
}
