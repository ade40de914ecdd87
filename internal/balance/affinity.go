package balance

import (
	"slices"
	"time"
)

const (
	// replicas is how many upstreams share the requests for one object. With two
	// a busy one has a warm alternative; with three more objects compete for the
	// memory of each upstream.
	replicas = 2
	// crossingPerByte is the time that a request would rather wait than send one
	// more byte to another failure domain: a photograph of 60 KB nearly always
	// stays, an answer of 400 bytes does not care.
	crossDomainCostPerByte = 10 * time.Microsecond
	// spareShare is up to what share of its slots an upstream begins a replica for
	// the sake of bytes that stay, so that the last slots are left to requests whose
	// object is at hand.
	replicaLoadLimit = 0.8
	// largeBytes is the mean size from which on a class has a replica of each
	// object in each failure domain. Below, one more warm replica costs more than
	// the bytes that stay.
	largeBytes = 3000
	// maxColdAhead is how many cold upstreams at the front of an object's order are passed
	// over. With half of a region cold eight in a row come once in 256 objects.
	maxUnreadySkipped = 8
	// hugeBytes is the mean size from which on each failure domain has a replica,
	// however many there are: the bytes that stay are then worth more than the colder work.
	hugeBytes = 20_000
)

// ObjectRequest asks for an upstream for a request that concerns an object.
type ObjectRequest struct {
	// Object is the hash of what the request is about; see HashObject.
	Object uint64
	// Class names the requests that take the same work, for instance a route.
	Class string
	// Objective is the latency within which the answer has its full worth; 0 if
	// there is none.
	Objective time.Duration
	// Regions are those that may serve the request.
	Regions func(region string) bool
	// Tried holds the ids of upstreams that must not be picked again.
	Tried []string
	// NoAffinity is set if there is no object to stay with, so that any upstream will
	// do.
	NoAffinity bool
}

// PickObject chooses among the upstreams of an object the one that is expected
// to answer first, and takes one of its slots. All entries order the upstreams
// of an object alike, so that requests for it meet at the same few.
func (b *Balancer) PickObject(now time.Time, req ObjectRequest) (Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ranked := b.replicasFor(now, req)
	if len(ranked) == 0 {
		return Choice{}, ErrNoUpstream
	}
	best, rank := b.fastest(now, req, ranked)
	if best == nil {
		return Choice{}, b.noSlotError(now, req, ranked)
	}
	c := Choice{Upstream: best.Upstream, PickedAt: now, Rank: rank, class: req.Class, object: req.Object, state: best}
	c.Warm = best.isWarm(req.Object, now)
	c.Outstanding = b.outstanding(best, now)
	c.ExpectedLatency = b.expectedLatency(best, now, req, rank)
	c.immediate = c.Outstanding+1 <= float64(best.Slots)
	if b.cold(best, now) {
		best.coldTokens--
	}
	if best.inFlight == 0 {
		best.lastAnswer = now
	}
	best.inFlight++
	best.sent++
	b.spendLimit(best, now)
	b.inFlight[best.Region]++
	return c, nil
}

// rank returns the upstreams that share an object, at most replicas, by place. A
// request that may go anywhere gets all usable upstreams.
func (b *Balancer) replicasFor(now time.Time, req ObjectRequest) []candidate {
	t := b.classStats(req.Class)
	switch {
	case req.NoAffinity:
		return b.byScore(now, req)
	case t.huge():
		return b.withLocalDomain(b.readyFirst(now, b.byScore(now, req)))
	case t.large():
		return perDomain(b.readyFirst(now, b.byScore(now, req)))
	}
	ranked := b.readyFirst(now, b.topByScore(now, req, replicas+maxUnreadySkipped))
	return ranked[:min(replicas, len(ranked))]
}

// settledFirst puts the upstreams that are cold, or whose limits leave no room, after those
// that are neither. One that has just joined knows no object and is slow, and the upstreams
// after it still have at hand what it would take over. Placed first, upstreams that join have
// requests refused while most slots are free, since most entries may not send to cold ones.
func (b *Balancer) readyFirst(now time.Time, cs []candidate) []candidate {
	for i := range cs {
		cs[i].unready = b.isUnready(cs[i], now)
	}
	slices.SortStableFunc(cs, func(x, y candidate) int { return compareBool(x.unready, y.unready) })
	return cs
}

func (b *Balancer) isUnready(c candidate, now time.Time) bool {
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

// withOwnDomain returns the first upstream, and the first of the own failure domain
// if there is one in the region that the object belongs to. So an object has as many
// replicas as there are failure domains that ask for it.
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

// perDomain returns the first upstreams of different failure domains of the region
// that the object belongs to, so that entries of each can have one at hand. Where
// there are fewer domains the next upstreams make up for it.
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

func hasDomain(cs []candidate, domain string) bool {
	return slices.ContainsFunc(cs, func(c candidate) bool { return c.state.Domain == domain })
}

// quickest returns the candidate with the least expected time to its answer, and
// its rank; nil if all are full.
//
// Each further replica of an object costs its upstream the whole work, and under
// load no upstream has room for that. So the first candidate and those that have
// the object at hand come first. Only if none of them can take the request another
// one may that is idle. Large requests begin a replica in the own failure domain
// as soon as an upstream there has a slot to spare.
func (b *Balancer) fastest(now time.Time, req ObjectRequest, ranked []candidate) (*upstreamState, int) {
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
			return u, rank
		}
	}
	return nil, 0
}

// idle reports whether an upstream uses at most a share of its slots with one more
// request.
func (b *Balancer) hasSpareSlots(u *upstreamState, now time.Time, share float64) bool {
	return b.outstanding(u, now)+1 <= share*float64(u.Slots)
}

// least returns the candidate with the least expected time among those that may be
// used, and its rank.
func (b *Balancer) leastExpected(now time.Time, req ObjectRequest, ranked []candidate, may func(int, *upstreamState) bool) (*upstreamState, int) {
	var best *upstreamState
	var least time.Duration
	rank := 0
	for i, c := range ranked {
		if !may(i, c.state) || c.limitWait(now) > 0 || !b.hasCapacity(c.state, now) || b.missesObjective(c.state, now, req) {
			continue
		}
		t := b.expectedLatency(c.state, now, req, i)
		if best == nil || t < least {
			best, least, rank = c.state, t, i
		}
	}
	return best, rank
}

// expected is the time until an upstream's answer: the way there and back, the
// wait for a slot, and the work.
func (b *Balancer) expectedLatency(u *upstreamState, now time.Time, req ObjectRequest, rank int) time.Duration {
	t := b.classStats(req.Class)
	work := t.unknown[min(rank, len(t.unknown)-1)]
	if u.isWarm(req.Object, now) {
		work = t.warm
	}
	return b.roundTrip[u.Region] + b.expectedWait(u, now, req) + work + b.crossDomainCost(u, t)
}

// crossing is the time that a request would rather wait than have its bytes cross
// to another failure domain.
func (b *Balancer) crossDomainCost(u *upstreamState, t *classStats) time.Duration {
	if u.Domain == b.domain {
		return 0
	}
	return time.Duration(t.meanBytes * float64(crossDomainCostPerByte))
}
