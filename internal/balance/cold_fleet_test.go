package balance

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// TestColdRateLimitUnderFaults keeps an upstream cold while entries crash, start, freeze and are
// partitioned. In no second may it get more requests than its rate limit.
func TestColdRateLimitUnderFaults(t *testing.T) {
	const bound = 12.0
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		t.Run(name, func(t *testing.T) {
			for _, size := range []struct{ entries, upstreams int }{{11, 12}, {18, 18}, {48, 24}} {
				for seed := range *limitSeeds {
					f := newSimFleet(seed, size.entries, size.upstreams)
					f.service.ColdRate = bound
					f.service.Upstreams = f.service.Upstreams[:1]
					f.service.Upstreams[0].ColdUntil = t0.Add(time.Hour)
					f.propagateMembers()
					f.demand = constantDemand(200)
					faults[name](f)
					f.run(runEnd)
					if got, at := f.maxInWindow("u0", time.Second, limitStart, runEnd); float64(got) > bound {
						t.Errorf("%d entries, seed %d: %d requests in the second before %v; allowed: %v", size.entries, seed, got, at, bound)
					}
				}
			}
		})
	}
}
