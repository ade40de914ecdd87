package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

// regionShare is the part of 2,000 objects whose first upstream is in a region. The
// group has carried requests for long before.
func regionShare(g *Group, now time.Time, region string) float64 {
	const objects = 2000
	g.mu.Lock()
	defer g.mu.Unlock()
	g.weighIfDue(now)
	n := 0
	for o := range objects {
		if g.byPlace(now, ObjectRequest{Object: HashObject("r", fmt.Sprint(o))})[0].m.Region == region {
			n++
		}
	}
	return float64(n) / objects
}

// TestDrainedDomainIsNoCapacity empties one of the two failure domains of a region.
// The region then has a third of the capacity for half of the requests, and a third
// of them must go to the other region: step by step, within the bound on shifts.
func TestDrainedDomainIsNoCapacity(t *testing.T) {
	s, entries := site(4, 8)
	s.MaxShift = 0.15
	began := t0.Add(10 * time.Second)
	g := NewGroup()
	in := Input{Service: s, Self: entries[0].ID, Home: "muscat", Domain: "muscat-a", Entries: entries,
		Draining: func(u *model.Upstream, now time.Time) bool { return u.Domain == "muscat-a" && !now.Before(began) }}
	g.Update(in, t0)
	serve(t, g, t0, 1, 0)
	if share := regionShare(g, began.Add(-weighEvery), "sohar"); share != 0 {
		t.Fatalf("%.2f of the objects leave a region that has room for all", share)
	}
	var shares []float64
	for at := began; at.Before(began.Add(15 * time.Second)); at = at.Add(weighEvery) {
		shares = append(shares, regionShare(g, at, "sohar"))
	}
	window := int(shiftWindow / weighEvery)
	for i := window; i < len(shares); i++ {
		if moved := shares[i] - shares[i-window]; moved > s.MaxShift {
			t.Fatalf("%.2f of the objects change region within two seconds, more than %.2f", moved, s.MaxShift)
		}
	}
	if last := shares[len(shares)-1]; math.Abs(last-1.0/3) > 0.04 {
		t.Errorf("%.2f of the objects are in the other region, want a third", last)
	}
}
