package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// benchmarkPick measures a request at one of four entries and 216 upstreams, from its pick to its
// answer.
func benchmarkPick(b *testing.B, prepare func(g *Balancer, now time.Time), answered func(g *Balancer, now time.Time, c Choice)) {
	s, entries := site(54, 8)
	g := groupAt(s, entries, entries[0])
	prepare(g, t0)
	b.ReportAllocs()
	for i := range b.N {
		now := t0.Add(time.Duration(i) * time.Millisecond)
		c, err := g.PickObject(now, ObjectRequest{Object: HashObject("r", fmt.Sprint(i%500)), Class: "r", Objective: time.Second})
		if err != nil {
			b.Fatal(err)
		}
		answered(g, now, c)
		g.Done(now, c, DoneInfo{Result: OK, Load: 0, Waiting: 0})
	}
}

func BenchmarkPick(b *testing.B) {
	benchmarkPick(b, func(*Balancer, time.Time) {}, func(*Balancer, time.Time, Choice) {})
}

// BenchmarkPickWithoutLimits is the same with answers that name no limit.
func BenchmarkPickWithoutLimits(b *testing.B) {
	benchmarkPick(b, func(*Balancer, time.Time) {}, func(g *Balancer, now time.Time, c Choice) {
		g.ObserveLimit(now, c, RateLimit{Known: true, PerSecond: ratelimit.Unlimited})
	})
}

// BenchmarkPickWithLimits is the same while a third of the upstreams name a limit.
func BenchmarkPickWithLimits(b *testing.B) {
	limited := make(map[string]bool)
	benchmarkPick(b, func(g *Balancer, now time.Time) {
		for i, m := range g.all {
			if i%3 == 0 {
				limited[m.ID] = true
				g.ObserveLimit(now, Choice{Upstream: m.Upstream, PickedAt: now, to: m}, RateLimit{Known: true, PerSecond: 3})
			}
		}
	}, func(g *Balancer, now time.Time, c Choice) {
		r := RateLimit{Known: true, PerSecond: ratelimit.Unlimited}
		if limited[c.ID] {
			r.PerSecond = 3
		}
		g.ObserveLimit(now, c, r)
	})
}
