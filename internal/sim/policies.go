package sim

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
)

// Policies are the policies by name.
var Policies = map[string]func(*Simulation) Policy{
	"loomkeel":   newLoomkeel,
	"least-load": func(p *Simulation) Policy { return &leastLoad{p} },
	"hash":       func(p *Simulation) Policy { return &hashOnly{p} },
	"omniscient": func(p *Simulation) Policy { return &omniscient{p} },
}

// candidates are the upstreams of a request's service that may be used.
func (p *Simulation) candidates(r *Request) []int {
	var out []int
	for i, u := range p.upstreams {
		if u.service == p.site.Classes[r.Class].Service && !p.drained[u.domain] && !slices.Contains(r.Tried, i) {
			out = append(out, i)
		}
	}
	return out
}

// leastLoad sends each request to the upstream with the fewest requests, of the own
// region first. It knows the true loads.
type leastLoad struct{ play *Simulation }

// Pick implements Policy.
func (l *leastLoad) Pick(_ time.Time, _ int, r *Request) Decision {
	key := func(i int) float64 {
		u := l.play.upstreams[i]
		load := float64(u.load()) / float64(u.slots)
		if l.play.regionOf[l.play.site.Domains[u.domain].Region] != r.Region {
			load++
		}
		return load
	}
	return least(l.play.candidates(r), key)
}

// Done implements Policy.
func (l *leastLoad) Done(time.Time, int, *Request, AttemptResult) {}

// Tick implements Policy.
func (l *leastLoad) Tick(time.Time) {}

// least decides for the candidate with the smallest key.
func least(candidates []int, key func(int) float64) Decision {
	if len(candidates) == 0 {
		return Decision{Upstream: -1}
	}
	return Decision{Upstream: slices.MinFunc(candidates, func(a, b int) int { return cmp.Compare(key(a), key(b)) })}
}

// hashOnly sends the requests for an object to one upstream by rendezvous hashing,
// whatever its load.
type hashOnly struct{ play *Simulation }

// Pick implements Policy.
func (h *hashOnly) Pick(_ time.Time, _ int, r *Request) Decision {
	return least(h.play.candidates(r), func(i int) float64 {
		return float64(balance.HashObject(h.play.upstreams[i].id, fmt.Sprint(r.Object)))
	})
}

// Done implements Policy.
func (h *hashOnly) Done(time.Time, int, *Request, AttemptResult) {}

// Tick implements Policy.
func (h *hashOnly) Tick(time.Time) {}

// omniscient is one scheduler that knows the true state of all upstreams at once, also
// what is on the way to none. It is a bound to compare with, not one that is proved: it
// sends each request where it will be answered first, but opens an object at another
// upstream only if it has no warm one that answers in time, and refuses what would be
// late while others wait.
type omniscient struct{ play *Simulation }

// Pick implements Policy.
func (o *omniscient) Pick(now time.Time, entry int, r *Request) Decision {
	c := &o.play.site.Classes[r.Class]
	left := c.Objective - now.Sub(r.first) - o.play.site.ClientLatency
	best, bestAt := -1, time.Duration(math.MaxInt64)
	idle, idleAt := -1, math.MaxFloat64
	for _, i := range o.play.candidates(r) {
		u := o.play.upstreams[i]
		way := o.play.way(&attempt{Request: r, upstream: i})
		took := 2*way + o.wait(u) + u.work(c, r.Object, r.cold)
		if u.has(r.Object) && took < bestAt {
			best, bestAt = i, took
		}
		if load := float64(u.load()) / float64(u.slots); load < idleAt {
			idle, idleAt = i, load
		}
	}
	switch {
	case best >= 0 && (bestAt <= left || r.again):
		return Decision{Upstream: best}
	case best < 0 && idle >= 0:
		return Decision{Upstream: idle}
	case best >= 0 && idleAt < 0.5:
		return Decision{Upstream: idle}
	case best >= 0:
		return Decision{Upstream: -1, RetryAfter: max(0, bestAt-left)}
	}
	return Decision{Upstream: -1}
}

// wait is about how long one more request waits for a slot.
func (o *omniscient) wait(u *upstream) time.Duration {
	ahead := float64(max(0, u.load()+1-u.slots)) / float64(u.slots)
	mean := 0.0
	for _, c := range o.play.site.Classes {
		if c.Service == u.service {
			mean = math.Max(mean, (1-c.CacheGain)*float64(c.ServiceTime)*u.slow)
		}
	}
	return time.Duration(ahead * mean)
}

// Done implements Policy.
func (o *omniscient) Done(time.Time, int, *Request, AttemptResult) {}

// Tick implements Policy.
func (o *omniscient) Tick(time.Time) {}
