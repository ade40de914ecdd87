package balance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomkeel/loomkeel/internal/model"
)

const (
	// replicas is how many upstreams share the requests for one object. With two
	// a busy one has a warm alternative; with three more objects compete for the
	// memory of each upstream (docs/PLATFORM.md has the figures).
	replicas = 2
	// fullAt is how many requests an upstream may have, running and waiting, per
	// slot. Beyond it a request would rather be refused early than be late and
	// make others late.
	fullAt = 3.0
	// crossingPerByte is the time that a request would rather wait than send one
	// more byte to another failure domain: a photograph of 60 KB nearly always
	// stays, an answer of 400 bytes does not care.
	crossingPerByte = 10 * time.Microsecond
	// spareShare is up to what share of its slots an upstream begins a replica for
	// the sake of bytes that stay. Measured: 0.5, 0.8, 0.9 and 1.1 differ by less
	// than the noise; 0.8 served both users' sites best together.
	spareShare = 0.8
	// largeBytes is the mean size from which on a class has a replica of each
	// object in each failure domain. Below, one more warm replica costs more than
	// the bytes that stay.
	largeBytes = 3000
	// priorShare is the part of a class's objective that its work is taken to need
	// until that was measured: operators set objectives that leave room to wait.
	priorShare = 0.5
	// farWeight is the weight of regions that nothing has to spill to: enough to
	// have an order among their upstreams when all nearer ones are gone.
	farWeight = 1e-6
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
	// Spread is set if there is no object to stay with, so that any upstream will
	// do.
	Spread bool
}

// HashObject returns the hash of an object of a class.
func HashObject(class, object string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(class)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(object)
	return d.Sum64()
}

// candidate is an upstream that may serve an object, with its place in the order
// of the object's upstreams: the smaller the nearer to the front.
type candidate struct {
	m     *member
	place float64
}

// PickObject chooses among the upstreams of an object the one that is expected
// to answer first, and takes one of its slots. All entries order the upstreams
// of an object alike, so that requests for it meet at the same few.
func (g *Group) PickObject(now time.Time, req ObjectRequest) (Choice, error) {
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
	c := Choice{Upstream: best.Upstream, Picked: now, Rank: rank, class: req.Class, object: req.Object}
	c.Warm = best.warmFor(req.Object, now)
	c.Ahead = g.estimate(best, now)
	c.Expected = g.expected(best, now, req, rank)
	c.unqueued = c.Ahead+1 <= float64(best.Slots)
	if g.cold(best, now) {
		best.coldTokens--
	}
	if best.inFlight == 0 {
		best.heardAt = now
	}
	best.inFlight++
	g.inFlight[best.Region]++
	return c, nil
}

// LateError reports that every upstream would answer too late for the objective
// now, but probably not after a while.
type LateError struct {
	// Upstream is the one with the least wait for a slot, Ahead how many requests
	// were thought to be there.
	Upstream string
	Ahead    float64
	// RetryAfter is that wait.
	RetryAfter time.Duration
}

// Error implements error.
func (e *LateError) Error() string {
	return fmt.Sprintf("balance: too late now: %.0f requests at %s, a slot in %v", e.Ahead, e.Upstream, e.RetryAfter.Round(time.Millisecond))
}

// Unwrap returns ErrNoSlot, of which a LateError is a kind.
func (e *LateError) Unwrap() error { return ErrNoSlot }

// full is the error when no candidate may take a request. It says when the first
// of them should have a slot.
func (g *Group) full(now time.Time, req ObjectRequest, ranked []candidate) error {
	first, least := ranked[0].m, g.wait(ranked[0].m, now, req)
	for _, c := range ranked[1:] {
		if w := g.wait(c.m, now, req); w < least {
			first, least = c.m, w
		}
	}
	if least <= 0 {
		return ErrNoSlot
	}
	return &LateError{Upstream: first.ID, Ahead: g.estimate(first, now), RetryAfter: least}
}

// rank returns the upstreams that share an object, at most replicas, by place. A
// request that may go anywhere gets all usable upstreams.
//
// If the requests of the class are large, the upstreams are the first in each
// failure domain of the region that the object belongs to, so that entries of each
// domain can have one at hand. Where there are fewer domains the next ones make up
// for it.
func (g *Group) rank(now time.Time, req ObjectRequest) []candidate {
	usable := g.byPlace(now, req)
	if req.Spread {
		return usable
	}
	if !g.times(req.Class).large() {
		return usable[:min(replicas, len(usable))]
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

// byPlace returns the usable upstreams in the object's order. Silent ones are left
// out, unless most are: then it is more likely that this entry is cut off.
func (g *Group) byPlace(now time.Time, req ObjectRequest) []candidate {
	all := make([]candidate, 0, len(g.all))
	answering := make([]candidate, 0, len(g.all))
	for _, m := range g.all {
		if !g.usable(m, now, req) {
			continue
		}
		c := candidate{m, place(req.Object, m)}
		all = append(all, c)
		if !g.silent(m, now) {
			answering = append(answering, c)
		}
	}
	if float64(len(all)-len(answering)) <= maxEjected*float64(len(all)) {
		all = answering
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.place, b.place) })
	return all
}

// usable reports whether an upstream may get the request at all.
func (g *Group) usable(m *member, now time.Time, req ObjectRequest) bool {
	if m.ejected(now) || g.leaves(m, now) || slices.Contains(req.Tried, m.ID) {
		return false
	}
	return req.Regions == nil || req.Regions(m.Region)
}

// place orders upstreams for an object by weighted rendezvous hashing (Schindelhauer
// and Schomaker, 2005): each comes first in proportion to its weight, and one
// that leaves or comes moves only its own objects.
func place(object uint64, m *member) float64 {
	const mantissa = 53
	u := (float64(mix(object^m.hash)>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return -math.Log(u) / m.weight
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// quickest returns the candidate with the least expected time to its answer, and
// its rank; nil if all are full.
//
// Each further replica of an object costs its upstream the whole work, and under
// load no upstream has room for that. So the first candidate and those that have
// the object at hand come first. Only if none of them can take the request another
// one may that is idle. Large requests begin a replica in the own failure domain
// as soon as an upstream there has a slot to spare.
func (g *Group) quickest(now time.Time, req ObjectRequest, ranked []candidate) (*member, int) {
	large := g.times(req.Class).large()
	tiers := []func(i int, m *member) bool{
		func(_ int, m *member) bool {
			return large && m.Domain == g.domain && !m.warmFor(req.Object, now) && g.idle(m, now, spareShare)
		},
		func(i int, m *member) bool { return i == 0 || req.Spread || m.warmFor(req.Object, now) },
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
func (g *Group) idle(m *member, now time.Time, share float64) bool {
	return g.estimate(m, now)+1 <= share*float64(m.Slots)
}

// least returns the candidate with the least expected time among those that may be
// used, and its rank.
func (g *Group) least(now time.Time, req ObjectRequest, ranked []candidate, may func(int, *member) bool) (*member, int) {
	var best *member
	var least time.Duration
	rank := 0
	for i, c := range ranked {
		if !may(i, c.m) || !g.hasRoom(c.m, now) || g.tooLate(c.m, now, req) {
			continue
		}
		t := g.expected(c.m, now, req, i)
		if best == nil || t < least {
			best, least, rank = c.m, t, i
		}
	}
	return best, rank
}

// tooLate reports whether the wait for a slot alone would make an answer miss its
// objective. Such a request is better refused at once: it may be in time when it
// comes back, and does not make others late. An object that is not at hand is no
// reason, or it would never be.
func (g *Group) tooLate(m *member, now time.Time, req ObjectRequest) bool {
	wait := g.wait(m, now, req)
	if req.Objective <= 0 || wait <= 0 {
		return false
	}
	warm := cmp.Or(g.times(req.Class).warm, req.priorWork())
	return g.roundTrip[m.Region]+wait+warm > req.Objective
}

// priorWork is what is assumed of the work before any was seen, as after a
// restart, when all callers come back at once.
func (r *ObjectRequest) priorWork() time.Duration {
	return time.Duration(priorShare * float64(r.Objective))
}

// wait is the expected time until one more request at an upstream gets a slot.
func (g *Group) wait(m *member, now time.Time, req ObjectRequest) time.Duration {
	slots := float64(max(m.Slots, 1))
	ahead := math.Max(0, g.estimate(m, now)+1+float64(m.failures)-slots) / slots
	return time.Duration(ahead * float64(cmp.Or(g.meanWork, req.priorWork())))
}

// hasRoom reports whether one more request may join those at an upstream.
func (g *Group) hasRoom(m *member, now time.Time) bool {
	if now.Before(m.shedUntil) || g.cold(m, now) && !g.takesCold(m, now) {
		return false
	}
	return g.estimate(m, now)+1 <= g.capacity(m)
}

// capacity is how many requests an upstream may have, running and waiting. One
// that fails again and again gets one at a time, to see when it is well again.
func (g *Group) capacity(m *member) float64 {
	if m.failures >= ejectAfter {
		return 1
	}
	return fullAt * float64(max(m.Slots, 1))
}

// expected is the time until an upstream's answer: the way there and back, the
// wait for a slot, and the work.
func (g *Group) expected(m *member, now time.Time, req ObjectRequest, rank int) time.Duration {
	t := g.times(req.Class)
	work := t.unknown[min(rank, len(t.unknown)-1)]
	if m.warmFor(req.Object, now) {
		work = t.warm
	}
	return g.roundTrip[m.Region] + g.wait(m, now, req) + work + g.crossing(m, t)
}

// crossing is the time that a request would rather wait than have its bytes cross
// to another failure domain.
func (g *Group) crossing(m *member, t *times) time.Duration {
	if m.Domain == g.domain {
		return 0
	}
	return time.Duration(t.bytes * float64(crossingPerByte))
}

// weigh sets the weights of the upstreams for an entry's region. Regions are
// taken to ask for equal shares of the service. A region that has the capacity
// for its share keeps its requests; the others send what is too much for them to
// where there is capacity to spare, so that all upstreams are loaded alike.
func (g *Group) weigh(home string, demand map[string]float64) {
	capacity := make(map[string]float64)
	total := 0.0
	for _, m := range g.all {
		slots := float64(max(m.Slots, 1))
		capacity[m.Region] += slots
		total += slots
	}
	spare := make(map[string]float64)
	spareTotal := 0.0
	for region, c := range capacity {
		spare[region] = math.Max(0, c/total-demand[region])
		spareTotal += spare[region]
	}
	kept := 1.0
	if demand[home] > 0 {
		kept = math.Min(1, capacity[home]/total/demand[home])
	}
	for _, m := range g.all {
		share := farWeight
		switch {
		case m.Region == home:
			share = math.Max(share, kept)
		case spareTotal > 0:
			share = math.Max(share, (1-kept)*spare[m.Region]/spareTotal)
		}
		m.weight = share * float64(max(m.Slots, 1)) / capacity[m.Region]
	}
}

// demandByRegion is the share of a service's requests that each region asks for.
// Regions with an entry are taken to ask alike.
func demandByRegion(entries []model.Member) map[string]float64 {
	demand := make(map[string]float64)
	for _, e := range entries {
		demand[e.Region] = 1
	}
	for region := range demand {
		demand[region] = 1 / float64(len(demand))
	}
	return demand
}
