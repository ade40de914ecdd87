package balance

import (
	"math"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

// TestCurrentCapacity changes the five upstreams of a region with ten slots each, one cause at a time.
func TestCurrentCapacity(t *testing.T) {
	const work = 0.2
	for name, tt := range map[string]struct {
		change func(lb *Balancer, us []*upstreamState)
		want   float64
	}{
		"as usual": {func(*Balancer, []*upstreamState) {}, 100},
		"one backs off": {func(_ *Balancer, us []*upstreamState) {
			us[0].announced.backoffUntil = t0.Add(time.Second)
		}, 90},
		"one drains": {func(lb *Balancer, us []*upstreamState) {
			lb.draining = func(u *model.Upstream, _ time.Time) bool { return u.ID == us[0].ID }
		}, 90},
		"two are ejected": {func(_ *Balancer, us []*upstreamState) {
			us[0].ejectedUntil, us[1].ejectedUntil = t0.Add(time.Second), t0.Add(time.Second)
		}, 80},
		"one is an outlier": {func(_ *Balancer, us []*upstreamState) { us[0].outlierUntil = t0.Add(time.Second) }, 90},
		"one is limited to 20 requests a second": {func(lb *Balancer, us []*upstreamState) {
			us[0].limit.Observe(20, t0, t0)
			lb.applyLimit(us[0], t0)
		}, 94},
		"one is cold and may get 5 requests a second": {func(lb *Balancer, us []*upstreamState) {
			lb.coldRate, us[0].ColdUntil = 5, t0.Add(time.Second)
		}, 91},
		"one is half as fast": {func(_ *Balancer, us []*upstreamState) { us[0].relativeTime = 2 }, 95},
		"all of both regions are ejected": {func(lb *Balancer, _ []*upstreamState) {
			for _, u := range lb.upstreams {
				u.ejectedUntil = t0.Add(time.Second)
			}
		}, 100},
	} {
		s, entries := twoRegionService(5, 10)
		lb := balancerAt(s, entries, entries[0])
		tt.change(lb, lb.byRegion["muscat"])
		if got := lb.currentCapacity(t0, work)["muscat"]; math.Abs(got-tt.want) > 1e-9 {
			t.Errorf("%s: capacity %v, want %v", name, got, tt.want)
		}
	}
}

// TestPressure checks that the demand is needed while half of the slots of one region are in use, and for
// a while after that.
func TestPressure(t *testing.T) {
	s, entries := twoRegionService(5, 10)
	lb := balancerAt(s, entries, entries[0])
	use := func(n int) {
		for _, u := range lb.byRegion["sohar"] {
			u.inFlight = n
		}
	}
	for _, tt := range []struct {
		after time.Duration
		use   int
		want  bool
	}{{0, 4, false}, {time.Second, 5, true}, {2 * time.Second, 1, true}, {7 * time.Second, 1, false}} {
		use(tt.use)
		if got := lb.Pressed(t0.Add(tt.after)); got != tt.want {
			t.Errorf("after %v with %d requests at each upstream: %v", tt.after, tt.use, got)
		}
	}
}
