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
	crossingPerByte = 10 * time.Microsecond
	// spareShare is up to what share of its slots an upstream begins a replica for
	// the sake of bytes that stay, so that the last slots are left to requests whose
	// object is at hand.
	spareShare = 0.8
	// largeBytes is the mean size from which on a class has a replica of each
	// object in each failure domain. Below, one more warm replica costs more than
	// the bytes that stay.
	largeBytes = 3000
	// maxColdAhead is how many cold upstreams at the front of an object's order are passed
	// over. With half of a region cold eight in a row come once in 256 objects.
	maxColdAhead = 8
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
func (g *Balancer) PickObject(now time.Time, req ObjectRequest) (Choice, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ranked := g.rank(now, req)
	if len(ranked) == 0 {
		return Choice{}, ErrNoUpstream
	}
	best, rank := g.quickest(now, req, ranked)
	if best == nil {
		return Choice{}, g.full(now, req, ranked)
	}
	c := Choice{Upstream: best.Upstream, PickedAt: now, Rank: rank, class: req.Class, object: req.Object, to: best}
	c.Warm = best.warmFor(req.Object, now)
	c.Outstanding = g.estimate(best, now)
	c.ExpectedLatency = g.expected(best, now, req, rank)
	c.unqueued = c.Outstanding+1 <= float64(best.Slots)
	if g.cold(best, now) {
		best.coldTokens--
	}
	if best.inFlight == 0 {
		best.heardAt = now
	}
	best.inFlight++
	best.sent++
	g.spendRate(best, now)
	g.inFlight[best.Region]++
	return c, nil
}

// rank returns the upstreams that share an object, at most replicas, by place. A
// request that may go anywhere gets all usable upstreams.
func (g *Balancer) rank(now time.Time, req ObjectRequest) []candidate {
	t := g.times(req.Class)
	switch {
	case req.NoAffinity:
		return g.byPlace(now, req)
	case t.huge():
		return g.withOwnDomain(g.settledFirst(now, g.byPlace(now, req)))
	case t.large():
		return perDomain(g.settledFirst(now, g.byPlace(now, req)))
	}
	ranked := g.settledFirst(now, g.front(now, req, replicas+maxColdAhead))
	return ranked[:min(replicas, len(ranked))]
}

// settledFirst puts the upstreams that are cold, or whose limits leave no room, after those
// that are neither. One that has just joined knows no object and is slow, and the upstreams
// after it still have at hand what it would take over. Placed first, upstreams that join have
// requests refused while most slots are free, since most entries may not send to cold ones.
func (g *Balancer) settledFirst(now time.Time, cs []candidate) []candidate {
	for i := range cs {
		cs[i].unsettled = g.unsettled(cs[i], now)
	}
	slices.SortStableFunc(cs, func(a, b candidate) int { return compareBool(a.unsettled, b.unsettled) })
	return cs
}

func (g *Balancer) unsettled(c candidate, now time.Time) bool {
	return g.cold(c.m, now) || c.rateWait(now) > 0
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
func (g *Balancer) withOwnDomain(usable []candidate) []candidate {
	if len(usable) <= replicas {
		return usable
	}
	first := usable[0]
	own := slices.IndexFunc(usable, func(c candidate) bool { return c.m.Domain == g.domain && c.m.Region == first.m.Region })
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
		if c.m.Region == usable[0].m.Region && !hasDomain(shared, c.m.Domain) {
			shared = append(shared, c)
		} else if len(rest) < replicas {
			rest = append(rest, c)
		}
	}
	missing := min(replicas-len(shared), len(rest))
	return append(shared, rest[:missing]...)
}

func hasDomain(cs []candidate, domain string) bool {
	return slices.ContainsFunc(cs, func(c candidate) bool { return c.m.Domain == domain })
}

// quickest returns the candidate with the least expected time to its answer, and
// its rank; nil if all are full.
//
// Each further replica of an object costs its upstream the whole work, and under
// load no upstream has room for that. So the first candidate and those that have
// the object at hand come first. Only if none of them can take the request another
// one may that is idle. Large requests begin a replica in the own failure domain
// as soon as an upstream there has a slot to spare.
func (g *Balancer) quickest(now time.Time, req ObjectRequest, ranked []candidate) (*member, int) {
	large := g.times(req.Class).large()
	tiers := []func(i int, m *member) bool{
		func(_ int, m *member) bool {
			return large && m.Domain == g.domain && !m.warmFor(req.Object, now) && g.idle(m, now, spareShare)
		},
		func(i int, m *member) bool { return i == 0 || req.NoAffinity || m.warmFor(req.Object, now) },
		func(_ int, m *member) bool { return g.idle(m, now, 1) },
	}
	for _, tier := range tiers {
		if m, rank := g.least(now, req, ranked, tier); m != nil {
			return m, rank
		}
	}
	return nil, 0
}

// idle reports whether an upstream uses at most a share of its slots with one more
// request.
func (g *Balancer) idle(m *member, now time.Time, share float64) bool {
	return g.estimate(m, now)+1 <= share*float64(m.Slots)
}

// least returns the candidate with the least expected time among those that may be
// used, and its rank.
func (g *Balancer) least(now time.Time, req ObjectRequest, ranked []candidate, may func(int, *member) bool) (*member, int) {
	var best *member
	var least time.Duration
	rank := 0
	for i, c := range ranked {
		if !may(i, c.m) || c.rateWait(now) > 0 || !g.hasRoom(c.m, now) || g.tooLate(c.m, now, req) {
			continue
		}
		t := g.expected(c.m, now, req, i)
		if best == nil || t < least {
			best, least, rank = c.m, t, i
		}
	}
	return best, rank
}

// expected is the time until an upstream's answer: the way there and back, the
// wait for a slot, and the work.
func (g *Balancer) expected(m *member, now time.Time, req ObjectRequest, rank int) time.Duration {
	t := g.times(req.Class)
	work := t.unknown[min(rank, len(t.unknown)-1)]
	if m.warmFor(req.Object, now) {
		work = t.warm
	}
	return g.roundTrip[m.Region] + g.wait(m, now, req) + work + g.crossing(m, t)
}

// crossing is the time that a request would rather wait than have its bytes cross
// to another failure domain.
func (g *Balancer) crossing(m *member, t *times) time.Duration {
	if m.Domain == g.domain {
		return 0
	}
	return time.Duration(t.bytes * float64(crossingPerByte))
}
