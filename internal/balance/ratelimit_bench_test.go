package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// benchmarkPick measures a request at one of four entries with 216 upstreams, from its pick to its
// answer.
func benchmarkPick(b *testing.B, prepare func(lb *Balancer, now time.Time), answered func(lb *Balancer, now time.Time, c Choice)) {
	s, entries := twoRegionService(54, 8)
	lb := balancerAt(s, entries, entries[0])
	prepare(lb, t0)
	b.ReportAllocs()
	for i := range b.N {
		now := t0.Add(time.Duration(i) * time.Millisecond)
		c, err := lb.PickObject(now, ObjectRequest{Object: HashObject("r", fmt.Sprint(i%500)), Class: "r", Objective: time.Second})
		if err != nil {
			b.Fatal(err)
		}
		answered(lb, now, c)
		lb.finish(now, c, Announcement{Load: 0, Waiting: 0}, DoneInfo{Result: OK})
	}
}

// BenchmarkPick measures requests whose answers say nothing about limits.
func BenchmarkPick(b *testing.B) {
	benchmarkPick(b, func(*Balancer, time.Time) {}, func(*Balancer, time.Time, Choice) {})
}

// BenchmarkPickWithoutLimits measures requests whose answers announce that there is no limit.
func BenchmarkPickWithoutLimits(b *testing.B) {
	benchmarkPick(b, func(*Balancer, time.Time) {}, func(lb *Balancer, now time.Time, c Choice) {
		lb.observeLimitOf(now, c, RateLimit{Known: true, PerSecond: ratelimit.Unlimited})
	})
}

// BenchmarkPickWithLimits measures requests while a third of the upstreams announce a limit.
func BenchmarkPickWithLimits(b *testing.B) {
	limited := make(map[string]bool)
	benchmarkPick(b, func(lb *Balancer, now time.Time) {
		for i, u := range lb.upstreams {
			if i%3 == 0 {
				limited[u.ID] = true
				lb.observeLimitOf(now, Choice{Upstream: u.Upstream, SendAt: now, state: u}, RateLimit{Known: true, PerSecond: 3})
			}
		}
	}, func(lb *Balancer, now time.Time, c Choice) {
		r := RateLimit{Known: true, PerSecond: ratelimit.Unlimited}
		if limited[c.ID] {
			r.PerSecond = 3
		}
		lb.observeLimitOf(now, c, r)
	})
}
