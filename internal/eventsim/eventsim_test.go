package eventsim

import (
	"slices"
	"testing"
	"time"
)

var t0 = time.Unix(1_800_000_000, 0)

func TestEventsComeInOrder(t *testing.T) {
	a := New(t0)
	var order []string
	note := func(name string) func() { return func() { order = append(order, name) } }
	a.After(2*time.Second, note("late"))
	a.After(time.Second, func() {
		order = append(order, "first")
		a.After(0, note("planned by it"))
	})
	a.At(t0.Add(time.Second), note("second at that time"))
	a.RunUntil(t0.Add(1500 * time.Millisecond))
	if want := []string{"first", "second at that time", "planned by it"}; !slices.Equal(order, want) {
		t.Errorf("events %v, want %v", order, want)
	}
	a.Run()
	if got := order[len(order)-1]; got != "late" || !a.Now().Equal(t0.Add(2*time.Second)) {
		t.Errorf("%s at %v at last", got, a.Now().Sub(t0))
	}
}
