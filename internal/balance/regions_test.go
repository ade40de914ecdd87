package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

// TestDrainedDomainHasNoCapacity drains one of the two failure domains of a region. The region then
// has a third of the capacity for half of the requests, so a third of its objects must go to the
// other region until the domain is back.
func TestDrainedDomainHasNoCapacity(t *testing.T) {
	s, entries := twoRegionService(4, 8)
	lb := NewBalancer()
	for i, tt := range []struct {
		drained string
		far     float64
	}{{"", 0}, {"muscat-a", 1.0 / 3}, {"", 0}} {
		drains := func(u *model.Upstream, _ time.Time) bool { return u.Domain == tt.drained }
		lb.Update(ServiceState{Service: s, Draining: drains, Self: entries[0].ID, Region: "muscat", Domain: "muscat-a", Entries: entries}, t0)
		const objects = 2000
		n := 0
		for o := range objects {
			first := lb.byScore(t0, ObjectRequest{Object: HashObject("r", fmt.Sprint(o))})[0].state
			if first.Domain == tt.drained {
				t.Fatalf("object %d is at an upstream that drains", o)
			}
			if first.Region != "muscat" {
				n++
			}
		}
		if far := float64(n) / objects; math.Abs(far-tt.far) > 0.04 {
			t.Errorf("step %d: %.2f of the objects are in the other region, want %.2f", i, far, tt.far)
		}
	}
}
