package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// benchmarkPick measures a request at one of four entries and 216 upstreams, from its pick to its
// answer.
func benchmarkPick(b *testing.B, prepare func(g *Group, now time.Time), answered func(g *Group, now time.Time, c Choice)) {
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
		g.Done(now, c, Report{Result: OK, Load: 0, Waiting: 0})
	}
}

func BenchmarkPick(b *testing.B) {
	benchmarkPick(b, func(*Group, time.Time) {}, func(*Group, time.Time, Choice) {})
}

// BenchmarkPickWithoutLimits is the same with answers that name no limit.
func BenchmarkPickWithoutLimits(b *testing.B) {
	benchmarkPick(b, func(*Group, time.Time) {}, func(g *Group, now time.Time, c Choice) {
		g.NoteRate(now, c, Rate{Known: true, PerSecond: ratelimit.Unlimited})
	})
}

// BenchmarkPickWithLimits is the same while a third of the upstreams name a limit.
func BenchmarkPickWithLimits(b *testing.B) {
	limited := make(map[string]bool)
	benchmarkPick(b, func(g *Group, now time.Time) {
		for i, m := range g.all {
			if i%3 == 0 {
				limited[m.ID] = true
				g.NoteRate(now, Choice{Upstream: m.Upstream, Picked: now, to: m}, Rate{Known: true, PerSecond: 3})
			}
		}
	}, func(g *Group, now time.Time, c Choice) {
		r := Rate{Known: true, PerSecond: ratelimit.Unlimited}
		if limited[c.ID] {
			r.PerSecond = 3
		}
		g.NoteRate(now, c, r)
	})
}
