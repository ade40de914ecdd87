package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// candidate is an upstream that may serve an object, with its place in the order
// of the object's upstreams: the smaller the nearer to the front.
type candidate struct {
	state *upstreamState
	score float64
	// spills is set if the request belongs to another upstream, or comes from another region.
	spills bool
	// unsettled is set by settledFirst.
	unready bool
}

// scratch holds the memory of the lists that each pick makes anew.
type scratch struct{ all, responsive []candidate }

// byPlace returns the usable upstreams in the object's order. The result holds until the
// next call.
func (b *Balancer) byScore(now time.Time, req ObjectRequest) []candidate {
	all := b.usableCandidates(now, req)
	slices.SortFunc(all, compareScore)
	return b.markSpillover(all, req.NoAffinity)
}

// front returns the first n usable upstreams in the object's order. It selects rather than
// sorts: each request comes here, and a service may have a thousand upstreams. The result
// holds until the next call.
func (b *Balancer) topByScore(now time.Time, req ObjectRequest, n int) []candidate {
	all := b.usableCandidates(now, req)
	n = min(n, len(all))
	for i, c := range all {
		if i >= n && c.score >= all[n-1].score {
			continue
		}
		// Everything before i but the first n is passed over already, so that the last of
		// these may be overwritten.
		j := min(i, n-1)
		for ; j > 0 && all[j-1].score > c.score; j-- {
			all[j] = all[j-1]
		}
		all[j] = c
	}
	return b.markSpillover(all[:n], req.NoAffinity)
}

func compareScore(a, b candidate) int { return cmp.Compare(a.score, b.score) }

// candidatesOf returns the usable upstreams in no order. Silent and failing ones are left
// out, unless most are: then it is more likely that this entry is cut off. The result
// holds until the next call.
func (b *Balancer) usableCandidates(now time.Time, req ObjectRequest) []candidate {
	all, answering := b.scratch.all[:0], b.scratch.responsive[:0]
	for _, u := range b.upstreams {
		if !b.usable(u, now, req) {
			continue
		}
		c := candidate{state: u, score: score(req.Object, u)}
		all = append(all, c)
		if !b.unresponsive(u, now) && !u.isOutlier(now) {
			answering = append(answering, c)
		}
	}
	b.scratch.all, b.scratch.responsive = all, answering
	if float64(len(all)-len(answering)) <= maxEjectionShare*float64(len(all)) {
		return answering
	}
	return all
}

// usable reports whether an upstream may get the request at all.
func (b *Balancer) usable(u *upstreamState, now time.Time, req ObjectRequest) bool {
	if u.ejected(now) || b.isDraining(u, now) || slices.Contains(req.Tried, u.ID) {
		return false
	}
	return req.Regions == nil || req.Regions(u.Region)
}

// place orders upstreams for an object by weighted rendezvous hashing (Schindelhauer
// and Schomaker, 2005): each comes first in proportion to its weight, and one
// that leaves or comes moves only its own objects.
func score(object uint64, u *upstreamState) float64 {
	const mantissa = 53
	uniform := (float64(mix(object^u.idHash)>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return -math.Log(uniform) / u.weight
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// HashObject returns the hash of an object of a class.
func HashObject(class, object string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(class)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(object)
	return d.Sum64()
}
