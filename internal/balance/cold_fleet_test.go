package balance

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// TestColdBoundBesideFaults has an upstream stay cold while entries die, start, stand still and
// are cut apart. In no second may it get more than its bound.
func TestColdBoundBesideFaults(t *testing.T) {
	const bound = 12.0
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		t.Run(name, func(t *testing.T) {
			for _, size := range []struct{ entries, upstreams int }{{11, 12}, {18, 18}, {48, 24}} {
				for seed := range *limitSeeds {
					f := newLimitFleet(seed, size.entries, size.upstreams)
					f.service.ColdRate = bound
					f.service.Upstreams = f.service.Upstreams[:1]
					f.service.Upstreams[0].ColdUntil = t0.Add(time.Hour)
					f.membersChanged()
					f.rate = constant(200)
					faults[name](f)
					f.run(limitEnd)
					if got, at := f.most("u0", time.Second, limitFrom, limitEnd); float64(got) > bound {
						t.Errorf("%d entries, seed %d: %d requests in the second before %v; allowed: %v", size.entries, seed, got, at, bound)
					}
				}
			}
		})
	}
}
