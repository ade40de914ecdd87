package sim

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
)

// Policies holds the constructors of the available policies, by name.
var Policies = map[string]func(*Simulation) Policy{
	"loomkeel":   newLoomkeel,
	"least-load": func(s *Simulation) Policy { return &leastLoad{s} },
	"hash":       func(s *Simulation) Policy { return &hashOnly{s} },
	"omniscient": func(s *Simulation) Policy { return &omniscient{s} },
}

// candidates returns the indexes of the upstreams that may get a request: those of its
// service that are not drained and haven't refused the request.
func (s *Simulation) candidates(r *Request) []int {
	var out []int
	for i, u := range s.upstreams {
		if u.service == s.scenario.Classes[r.Class].Service && !s.drained[u.domain] && !slices.Contains(r.Tried, i) {
			out = append(out, i)
		}
	}
	return out
}

// leastLoad sends each request to the upstream with the fewest requests per slot; an
// upstream in another region counts as one request per slot more loaded. The loads are the
// true ones, without delay.
type leastLoad struct{ sim *Simulation }

// Pick implements Policy.
func (l *leastLoad) Pick(_ time.Time, _ int, r *Request) Decision {
	key := func(i int) float64 {
		u := l.sim.upstreams[i]
		load := float64(u.load()) / float64(u.slots)
		if l.sim.regionOf[l.sim.scenario.Domains[u.domain].Region] != r.Region {
			load++
		}
		return load
	}
	return pickMin(l.sim.candidates(r), key)
}

// Done implements Policy.
func (l *leastLoad) Done(time.Time, int, *Request, AttemptResult) {}

// Tick implements Policy.
func (l *leastLoad) Tick(time.Time) {}

// pickMin returns a decision for the candidate with the smallest key, or a refusal without
// candidates.
func pickMin(candidates []int, key func(int) float64) Decision {
	if len(candidates) == 0 {
		return Decision{Upstream: -1}
	}
	return Decision{Upstream: slices.MinFunc(candidates, func(a, b int) int { return cmp.Compare(key(a), key(b)) })}
}

// hashOnly sends all requests for an object to the same upstream by rendezvous hashing,
// whatever its load.
type hashOnly struct{ sim *Simulation }

// Pick implements Policy.
func (h *hashOnly) Pick(_ time.Time, _ int, r *Request) Decision {
	return pickMin(h.sim.candidates(r), func(i int) float64 {
		return float64(balance.HashObject(h.sim.upstreams[i].id, fmt.Sprint(r.Object)))
	})
}

// Done implements Policy.
func (h *hashOnly) Done(time.Time, int, *Request, AttemptResult) {}

// Tick implements Policy.
func (h *hashOnly) Tick(time.Time) {}

// omniscient is a central scheduler that sees the true state of all upstreams without delay,
// except the requests in transit to them. It is a reference for comparison, not a proven
// bound. It sends a request to the upstream with its object cached that will answer first,
// or to the least loaded upstream if none has the object. If the answer would miss the
// objective, it uses the least loaded upstream if that has less than 0.5 requests per slot,
// and else refuses the request. A retry isn't refused for missing the objective.
type omniscient struct{ sim *Simulation }

// Pick implements Policy.
func (o *omniscient) Pick(now time.Time, entry int, r *Request) Decision {
	c := &o.sim.scenario.Classes[r.Class]
	remaining := c.Objective - now.Sub(r.firstSent) - o.sim.scenario.ClientLatency
	cached, cachedTime := -1, time.Duration(math.MaxInt64)
	leastLoaded, lowestLoad := -1, math.MaxFloat64
	for _, i := range o.sim.candidates(r) {
		u := o.sim.upstreams[i]
		latency := o.sim.latency(&attempt{Request: r, upstream: i})
		total := 2*latency + o.expectedWait(u) + u.serviceTime(c, r.Object, r.uncachedTime)
		if u.hasCached(r.Object) && total < cachedTime {
			cached, cachedTime = i, total
		}
		if load := float64(u.load()) / float64(u.slots); load < lowestLoad {
			leastLoaded, lowestLoad = i, load
		}
	}
	switch {
	case cached >= 0 && (cachedTime <= remaining || r.isRetry):
		return Decision{Upstream: cached}
	case cached < 0 && leastLoaded >= 0:
		return Decision{Upstream: leastLoaded}
	case cached >= 0 && lowestLoad < 0.5:
		return Decision{Upstream: leastLoaded}
	case cached >= 0:
		return Decision{Upstream: -1, RetryAfter: max(0, cachedTime-remaining)}
	}
	return Decision{Upstream: -1}
}

// expectedWait estimates how long one more request waits for a slot of an upstream.
func (o *omniscient) expectedWait(u *upstream) time.Duration {
	excess := float64(max(0, u.load()+1-u.slots)) / float64(u.slots)
	mean := 0.0
	for _, c := range o.sim.scenario.Classes {
		if c.Service == u.service {
			mean = math.Max(mean, (1-c.CacheGain)*float64(c.ServiceTime)*u.slowdown)
		}
	}
	return time.Duration(excess * mean)
}

// Done implements Policy.
func (o *omniscient) Done(time.Time, int, *Request, AttemptResult) {}

// Tick implements Policy.
func (o *omniscient) Tick(time.Time) {}
