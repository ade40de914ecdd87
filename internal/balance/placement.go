package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// candidate is an upstream that may serve an object, with its score for the object: the lower the
// score, the earlier the upstream comes in the object's order.
type candidate struct {
	state *upstreamState
	score float64
	// spills is set if another upstream comes first for the object, or if the upstream is in
	// another region than this entry; see markSpillover.
	spills bool
	// unready is set by readyFirst for upstreams that are cold or have no room in their limit.
	unready bool
}

// scratch holds the slices that every pick reuses.
type scratch struct{ all, responsive []candidate }

// byScore returns the usable upstreams in the object's order. The result is valid until the next
// call.
func (b *Balancer) byScore(now time.Time, req ObjectRequest) []candidate {
	all := b.usableCandidates(now, req)
	slices.SortFunc(all, compareScore)
	return b.markSpillover(all, req.NoAffinity)
}

// topByScore returns the first n usable upstreams in the object's order. It selects instead of
// sorting, since it runs for each request and a service may have a thousand upstreams. The result
// is valid until the next call.
func (b *Balancer) topByScore(now time.Time, req ObjectRequest, n int) []candidate {
	all := b.usableCandidates(now, req)
	n = min(n, len(all))
	for i, c := range all {
		if i >= n && c.score >= all[n-1].score {
			continue
		}
		// Everything before i except the first n has been skipped, so the last of these n may be
		// overwritten.
		j := min(i, n-1)
		for ; j > 0 && all[j-1].score > c.score; j-- {
			all[j] = all[j-1]
		}
		all[j] = c
	}
	return b.markSpillover(all[:n], req.NoAffinity)
}

// compareScore orders candidates by ascending score.
func compareScore(a, b candidate) int { return cmp.Compare(a.score, b.score) }

// usableCandidates returns the usable upstreams in no particular order. Unresponsive upstreams and
// outliers are left out, unless they are the majority: then this entry is more likely the one that
// is cut off. The result is valid until the next call.
func (b *Balancer) usableCandidates(now time.Time, req ObjectRequest) []candidate {
	if cs := b.candidatesWithout(b.isDraining, now, req); len(cs) > 0 {
		return cs
	}
	return b.candidatesWithout(b.drainedForGood, now, req)
}

// candidatesWithout returns the usable upstreams that excluded does not report.
func (b *Balancer) candidatesWithout(excluded func(*upstreamState, time.Time) bool, now time.Time, req ObjectRequest) []candidate {
	all, responsive := b.scratch.all[:0], b.scratch.responsive[:0]
	for _, u := range b.upstreams {
		if excluded(u, now) || u.backingOff(now) || !b.usable(u, now, req) {
			continue
		}
		c := candidate{state: u, score: score(req.Object, u)}
		all = append(all, c)
		if !b.unresponsive(u, now) && !u.isOutlier(now) {
			responsive = append(responsive, c)
		}
	}
	b.scratch.all, b.scratch.responsive = all, responsive
	if float64(len(all)-len(responsive)) <= maxEjectionShare*float64(len(all)) {
		return responsive
	}
	return all
}

// usable reports whether an upstream may serve the request at all, regardless of its load and
// its announcements.
func (b *Balancer) usable(u *upstreamState, now time.Time, req ObjectRequest) bool {
	if u.ejected(now) || slices.Contains(req.Tried, u.ID) {
		return false
	}
	if req.Upstreams != nil && !req.Upstreams(&u.Upstream) {
		return false
	}
	return req.Regions == nil || req.Regions(u.Region)
}

// score returns the position of an upstream in the order of an object by weighted rendezvous
// hashing (Schindelhauer and Schomaker, 2005): lower scores come first. Each upstream comes first
// for a share of the objects in proportion to its weight, and an upstream that joins or leaves
// moves only its own objects.
func score(object uint64, u *upstreamState) float64 {
	return -math.Log(uniform(object^u.idHash)) / u.weight
}

// uniform returns a number between 0 and 1, both excluded, that is uniformly distributed over hashes.
func uniform(hash uint64) float64 {
	const mantissa = 53
	return (float64(mix(hash)>>(64-mantissa)) + 0.5) / (1 << mantissa)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// HashObject returns the hash of an object of a class, as used in ObjectRequest.Object.
func HashObject(class, object string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(class)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(object)
	return d.Sum64()
}
