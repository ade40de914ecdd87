package balance

import (
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

const (
	// replicas is the number of upstreams that share the requests for one object. With two, a busy
	// upstream has a warm alternative; with three, more objects compete for the memory of each
	// upstream.
	replicas = 2
	// crossDomainCostPerByte is the extra wait that is accepted per byte to keep a request within
	// its failure domain: a photograph of 60 KB nearly always stays, an answer of 400 bytes is
	// hardly affected.
	crossDomainCostPerByte = 10 * time.Microsecond
	// replicaLoadLimit is the share of its slots up to which an upstream takes a new replica of an
	// object only to keep traffic within the failure domain. The remaining slots are left to
	// requests for which the upstream is warm.
	replicaLoadLimit = 0.8
	// largeBytes is the mean size from which a class has replicas of each object in different
	// failure domains. Below it, another warm replica costs more than the traffic that it keeps
	// within a domain.
	largeBytes = 3000
	// maxUnreadySkipped is how many unready upstreams are skipped at the front of an object's order.
	// With half of a region cold, eight in a row occur for one object in 256.
	maxUnreadySkipped = 8
	// hugeBytes is the mean size from which each object of a class has a replica in every
	// failure domain that requests it, whatever their number: keeping the traffic within the
	// domain is then worth more than the additional cold work.
	hugeBytes = 20_000
)

// ObjectRequest describes a request for an object, for which an upstream is to be picked.
type ObjectRequest struct {
	// Object is the hash of what the request is about; see HashObject.
	Object uint64
	// Class names requests of similar service time, for instance a route.
	Class string
	// Objective is the latency up to which the answer has its full value; 0 if there is none.
	Objective time.Duration
	// Regions reports whether a region may serve the request; nil allows all.
	Regions func(region string) bool
	// Tried holds the IDs of upstreams that must not be picked again.
	Tried []string
	// Upstreams reports whether an upstream may get the request; nil allows all. It is called with
	// the Balancer locked.
	Upstreams func(u *model.Upstream) bool
	// NoTrial is set if the request must not be used to find out whether an upstream accepts requests
	// after a backoff, because no retry could follow.
	NoTrial bool
	// NoAffinity is set if the request concerns no particular object, so that any upstream will do.
	NoAffinity bool
	// Ordered is set if the request can wait at the entry until an upstream has room for it, so that
	// it need not wait at an upstream, where order is not kept.
	Ordered bool
	// Reserved is the part of the requests that an upstream may get beyond its slots that is kept for
	// more urgent requests than this one, from 0 to 1. It only matters if Ordered is set.
	Reserved float64
	// Crowded is set if requests wait at the entry.
	Crowded bool
}

// PickObject chooses the replica of an object with the least expected latency and takes one of its
// slots. All entries of a region compute the same order of upstreams for an object, so that
// requests for it reach the same few upstreams. The error is ErrNoUpstream, ErrNoSlot, or one that
// wraps ErrNoSlot (LateError, LimitError, BackoffError).
func (b *Balancer) PickObject(now time.Time, req ObjectRequest) (Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.weightsStale {
		b.updateWeights(now)
	}
	b.hasObjects = b.hasObjects || !req.NoAffinity
	ranked := b.replicasFor(now, req)
	if len(ranked) == 0 {
		return Choice{}, b.noUpstreamError(now, func(u *upstreamState) bool { return b.usable(u, now, req) })
	}
	best, rank, wait := b.fastest(now, req, ranked)
	if best == nil && now.Before(b.turningAwayUntil) {
		best, rank = b.fastestWithSpareSlots(now, req)
	}
	if best == nil {
		return Choice{}, b.noSlotError(now, req, ranked)
	}
	c := Choice{Upstream: best.Upstream, SendAt: now.Add(wait), Rank: rank, class: req.Class, object: req.Object, state: best}
	c.Warm = best.isWarm(req.Object, now)
	c.Outstanding = b.outstanding(best, now)
	c.ExpectedLatency = b.expectedLatency(best, now, req, rank)
	c.immediate = c.Outstanding+1 <= float64(best.Slots)
	if b.cold(best, now) {
		best.coldTokens--
	}
	if best.inFlight == 0 {
		best.lastAnswer = c.SendAt
	}
	best.inFlight++
	best.endedAt = time.Time{}
	best.sent++
	b.countSend(best, now)
	b.spendLimit(best, now)
	b.inFlight[best.Region]++
	return c, nil
}

// replicasFor returns the candidates for an object, at most as many as replicas: in the object's
// order, but those that are unready last. A request without affinity gets all usable upstreams.
func (b *Balancer) replicasFor(now time.Time, req ObjectRequest) []candidate {
	t := b.classStats(req.Class)
	switch {
	case req.NoAffinity:
		return b.byScore(now, req)
	case t.huge():
		return b.withLocalDomain(b.readyFirst(now, req, b.byScore(now, req)))
	case t.large():
		return perDomain(b.readyFirst(now, req, b.byScore(now, req)))
	}
	ranked := b.readyFirst(now, req, b.topByScore(now, req, replicas+maxUnreadySkipped))
	return ranked[:min(replicas, len(ranked))]
}

// readyFirst moves unready upstreams behind the others; see isUnready.
// An upstream that has just joined has no object cached and is slow, while the next upstreams in
// the order still have the objects that it would take over. If joining upstreams came first,
// requests would be refused while most slots are free, because most entries may not send to cold
// upstreams.
func (b *Balancer) readyFirst(now time.Time, req ObjectRequest, cs []candidate) []candidate {
	for i := range cs {
		cs[i].unready = b.isUnready(cs[i], now, req)
	}
	slices.SortStableFunc(cs, func(x, y candidate) int { return compareBool(x.unready, y.unready) })
	return cs
}

// isUnready reports whether a candidate is cold, turns requests away, awaits its recovery or has no room
// in its limit now.
func (b *Balancer) isUnready(c candidate, now time.Time, req ObjectRequest) bool {
	if c.state.recovering(now) && (req.NoTrial || c.state.awaitsRecovery(now) || b.turnsAway(c.state, now)) {
		return true
	}
	return b.cold(c.state, now) || c.limitWait(now) > 0
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// withLocalDomain returns the first upstream and the first one in this entry's own failure domain
// of the object's region, which is the region of the first upstream. If these are the same, or the
// domain has none there, it returns the result of perDomain. An object thus has as many replicas as
// there are failure domains that request it.
func (b *Balancer) withLocalDomain(usable []candidate) []candidate {
	if len(usable) <= replicas {
		return usable
	}
	first := usable[0]
	own := slices.IndexFunc(usable, func(c candidate) bool { return c.state.Domain == b.domain && c.state.Region == first.state.Region })
	if own <= 0 {
		return perDomain(usable)
	}
	return []candidate{first, usable[own]}
}

// perDomain returns the first upstreams of different failure domains in the object's region, so
// that entries in each of these domains can have a warm upstream in their own domain. If there are
// fewer domains than replicas, the next upstreams in the order fill the rest.
func perDomain(usable []candidate) []candidate {
	if len(usable) <= replicas {
		return usable
	}
	shared := make([]candidate, 0, replicas)
	rest := make([]candidate, 0, replicas)
	for _, c := range usable {
		if len(shared) == replicas {
			break
		}
		if c.state.Region == usable[0].state.Region && !hasDomain(shared, c.state.Domain) {
			shared = append(shared, c)
		} else if len(rest) < replicas {
			rest = append(rest, c)
		}
	}
	missing := min(replicas-len(shared), len(rest))
	return append(shared, rest[:missing]...)
}

// hasDomain reports whether one of the candidates is in a failure domain.
func hasDomain(cs []candidate, domain string) bool {
	return slices.ContainsFunc(cs, func(c candidate) bool { return c.state.Domain == domain })
}

// fastest returns the candidate with the least expected latency, its rank, and the time for which
// the request must wait for the candidate's limit; nil if no candidate can take the request.
//
// Each further replica costs its upstream the full work on a cold object, for which no upstream has
// room under load. The first candidate and warm ones are therefore preferred; if none of them can
// take the request, another one with a free slot may. A request of a large class starts a replica in
// this entry's own failure domain as soon as an upstream there has enough free slots.
func (b *Balancer) fastest(now time.Time, req ObjectRequest, ranked []candidate) (u *upstreamState, rank int, wait time.Duration) {
	large := b.classStats(req.Class).large()
	tiers := []func(i int, u *upstreamState) bool{
		func(_ int, u *upstreamState) bool {
			return large && u.Domain == b.domain && !u.isWarm(req.Object, now) && b.hasSpareSlots(u, now, replicaLoadLimit)
		},
		func(i int, u *upstreamState) bool { return i == 0 || req.NoAffinity || u.isWarm(req.Object, now) },
		func(_ int, u *upstreamState) bool { return b.hasSpareSlots(u, now, 1) },
	}
	for _, tier := range tiers {
		if u, rank := b.leastExpected(now, req, ranked, tier); u != nil {
			return u, rank, 0
		}
	}
	return b.firstWithinLimit(now, req, ranked)
}

// fastestWithSpareSlots returns the upstream with the least expected latency among all with a free slot;
// nil if there is none. It is used while some upstreams turn requests away, whose objects would otherwise
// be refused beside upstreams with free slots. The rank is that behind the object's replicas.
func (b *Balancer) fastestWithSpareSlots(now time.Time, req ObjectRequest) (u *upstreamState, rank int) {
	all := b.markSpillover(b.usableCandidates(now, req), req.NoAffinity)
	u, _ = b.leastExpected(now, req, all, func(_ int, u *upstreamState) bool {
		return !u.recovering(now) && b.hasSpareSlots(u, now, 1)
	})
	return u, replicas
}

// hasSpareSlots reports whether an upstream uses at most a share of its slots after one more
// request.
func (b *Balancer) hasSpareSlots(u *upstreamState, now time.Time, share float64) bool {
	return b.outstanding(u, now)+1 <= share*float64(u.Slots)
}

// leastExpected returns the candidate with the least expected latency among those that allowed
// accepts and that have room, and its rank; nil if there is none.
func (b *Balancer) leastExpected(now time.Time, req ObjectRequest, ranked []candidate, allowed func(int, *upstreamState) bool) (*upstreamState, int) {
	var best *upstreamState
	var least time.Duration
	rank := 0
	for i, c := range ranked {
		if !allowed(i, c.state) || c.limitWait(now) > 0 || !b.hasCapacity(c.state, now, req) || b.missesObjective(c.state, now, req) {
			continue
		}
		t := b.expectedLatency(c.state, now, req, i)
		if best == nil || t < least {
			best, least, rank = c.state, t, i
		}
	}
	return best, rank
}

// expectedLatency returns the expected time until an upstream's answer: the network round trip, the
// wait for a slot, the service time, and the cost of crossing failure domains.
func (b *Balancer) expectedLatency(u *upstreamState, now time.Time, req ObjectRequest, rank int) time.Duration {
	t := b.classStats(req.Class)
	work := t.unknown[min(rank, len(t.unknown)-1)]
	if u.isWarm(req.Object, now) {
		work = t.warm
	}
	work = time.Duration(u.currentSlowdown(now) * float64(work))
	return b.roundTrip[u.Region] + b.expectedWait(u, now, req) + work + b.crossDomainCost(u, t)
}

// crossDomainCost returns the extra wait that is accepted to avoid sending a request of a class to
// another failure domain.
func (b *Balancer) crossDomainCost(u *upstreamState, t *classStats) time.Duration {
	if u.Domain == b.domain {
		return 0
	}
	return time.Duration(t.meanBytes * float64(crossDomainCostPerByte))
}
