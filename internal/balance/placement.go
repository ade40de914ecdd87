package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomkeel/loomkeel/internal/model"
)

const (
	// farWeight is the weight of regions that nothing has to spill to: enough to
	// have an order among their upstreams when all nearer ones are gone.
	farWeight = 1e-6
)

// candidate is an upstream that may serve an object, with its place in the order
// of the object's upstreams: the smaller the nearer to the front.
type candidate struct {
	m     *member
	place float64
}

// byPlace returns the usable upstreams in the object's order. Silent and failing ones
// are left out, unless most are: then it is more likely that this entry is cut off.
func (g *Group) byPlace(now time.Time, req ObjectRequest) []candidate {
	all := make([]candidate, 0, len(g.all))
	answering := make([]candidate, 0, len(g.all))
	for _, m := range g.all {
		if !g.usable(m, now, req) {
			continue
		}
		c := candidate{m, place(req.Object, m)}
		all = append(all, c)
		if !g.silent(m, now) && !m.outlying(now) {
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

// HashObject returns the hash of an object of a class.
func HashObject(class, object string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(class)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(object)
	return d.Sum64()
}
