package balance

import (
	"testing"
	"time"
)

// The work times of the tests in this file: usual ones, and those of the tail.
const (
	usualWork = 100 * time.Millisecond
	tailWork  = 700 * time.Millisecond
	objective = 400 * time.Millisecond
)

// learnWork reports runs of an object, of which one in so many takes tailWork; 0 means none.
func learnWork(t *testing.T, lb *Balancer, object, n, tailEvery int) {
	t.Helper()
	for i := range n {
		now := t0.Add(time.Duration(i) * 10 * time.Millisecond)
		took := usualWork + time.Duration(i%5)*time.Millisecond
		if tailEvery > 0 && i%tailEvery == tailEvery-1 {
			took = tailWork
		}
		pickAndAnswer(t, lb, now, object, took)
	}
}

func TestHedgeAfterTheUsualWork(t *testing.T) {
	for _, tt := range []struct {
		name         string
		n, tailEvery int
		hedges       bool
	}{
		{"no samples", 0, 0, false},
		{"too few samples", 5, 3, false},
		{"no tail", 40, 0, false},
		{"long tail", 40, 10, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, entries := twoRegionService(2, 8)
			lb := balancerAt(s, entries, entries[0])
			learnWork(t, lb, 1, tt.n, tt.tailEvery)
			after := lb.HedgeAfter(pickObject(t, lb, t0.Add(time.Second), 1), objective)
			if hedges := after > 0; hedges != tt.hedges {
				t.Fatalf("second send after %v", after)
			}
			if tt.hedges && (after < usualWork || after > 2*usualWork) {
				t.Errorf("second send after %v, want soon after %v", after, usualWork)
			}
		})
	}
}

// TestCancelledRunsStayInTheTail checks that runs which a second one has outrun still count as long, so
// that second sends do not end the knowledge that they are based on.
func TestCancelledRunsStayInTheTail(t *testing.T) {
	s, entries := twoRegionService(2, 8)
	lb := balancerAt(s, entries, entries[0])
	learnWork(t, lb, 1, 40, 10)
	for i := range 64 {
		now := t0.Add(time.Second + time.Duration(i)*10*time.Millisecond)
		c := pickObject(t, lb, now, 1)
		if i%10 == 9 {
			lb.Done(now.Add(3*usualWork), c, DoneInfo{Result: Outrun})
			continue
		}
		lb.finish(now.Add(usualWork), c, Announcement{Load: 0, Waiting: 0}, DoneInfo{Result: OK, Bytes: 400})
	}
	if lb.HedgeAfter(pickObject(t, lb, t0.Add(2*time.Second), 1), objective) == 0 {
		t.Error("no second sends after runs that were outrun")
	}
}

func TestPickHedge(t *testing.T) {
	s, entries := twoRegionService(2, 4)
	lb := balancerAt(s, entries, entries[0])
	learnWork(t, lb, 1, 40, 10)
	now := t0.Add(time.Second)
	first := pickObject(t, lb, now, 1)
	req := ObjectRequest{Object: first.object, Class: "r"}
	if c, ok := lb.PickHedge(now, req, first, time.Second); ok {
		t.Errorf("picked %s, which may be cold", c.ID)
	}
	other, err := lb.PickObject(now, ObjectRequest{Object: first.object, Class: "r", Tried: []string{first.ID}})
	if err != nil {
		t.Fatal(err)
	}
	lb.Done(now, other, DoneInfo{Result: OK})
	if c, ok := lb.PickHedge(now, req, first, usualWork/2); ok {
		t.Errorf("picked %s, which cannot answer in time", c.ID)
	}
	second, ok := lb.PickHedge(now, req, first, time.Second)
	if !ok || second.ID == first.ID {
		t.Fatalf("picked %q, %v, want another replica", second.ID, ok)
	}
	lb.Done(now, second, DoneInfo{Result: Outrun})
	for range 40 {
		if lb.Room(now).Busy > maxHedgeLoad*lb.Room(now).Slots {
			break
		}
		if _, err := lb.PickObject(now, ObjectRequest{Object: HashObject("r", time.Duration(lb.Room(now).Busy).String()), Class: "r"}); err != nil {
			t.Fatal(err)
		}
	}
	if c, ok := lb.PickHedge(now, req, first, time.Second); ok {
		t.Errorf("picked %s with %.0f of %.0f slots in use", c.ID, lb.Room(now).Busy, lb.Room(now).Slots)
	}
}
