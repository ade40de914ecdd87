package balance

import (
	"maps"
	"math"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

const (
	// farWeight is the weight of regions that nothing has to spill to: enough to
	// have an order among their upstreams when all nearer ones are gone.
	farWeight = 1e-6
	// weighEvery is the time between looks at what capacity the regions have. Far
	// shorter than the seconds in which shares move.
	weighEvery = 100 * time.Millisecond
	// shiftWindow is the time over which Service.MaxShift bounds what changes region.
	shiftWindow = 2 * time.Second
	// shiftPart is the part of that bound which the shares of the regions use. The
	// rest is for requests that leave their region because it is full, and for
	// chance: among 300 requests in a window shares vary by 0.03.
	shiftPart = 0.5
	// settleFor is how long after its first request a group may move its shares
	// freely. A process that has just started hears of its peers one by one.
	settleFor = time.Second
)

// shares says what part of the own region's requests goes to each region.
type shares map[string]float64

// spread returns the shares that load all regions alike. Demand is what part of all
// requests each region asks for, capacity the slots that may be used there. A region
// that has the capacity for its demand keeps its requests; the others send what is
// too much for them to where there is capacity to spare.
func spread(home string, capacity, demand map[string]float64) shares {
	total := 0.0
	for _, c := range capacity {
		total += c
	}
	if total <= 0 {
		return shares{home: 1}
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
	out := shares{home: kept}
	for region, s := range spare {
		if region != home && spareTotal > 0 {
			out[region] = (1 - kept) * s / spareTotal
		}
	}
	return out
}

// toward returns shares that are moved towards others by at most a part of all
// requests.
func (s shares) toward(target shares, most float64) shares {
	regions := maps.Clone(s)
	maps.Copy(regions, target)
	moved := 0.0
	for region := range regions {
		moved += math.Abs(target[region]-s[region]) / 2
	}
	if moved <= most {
		return target
	}
	out := make(shares, len(regions))
	for region := range regions {
		out[region] = s[region] + (target[region]-s[region])*most/moved
	}
	return out
}

// weighIfDue brings the weights up to date from time to time: upstreams begin to
// leave or turn cold without a new snapshot.
func (g *Group) weighIfDue(now time.Time) {
	if now.Sub(g.weighedAt) >= weighEvery {
		g.weigh(now)
	}
}

// weigh sets the weights of the upstreams for the requests of the own region. What
// the shares of the regions are to be follows what capacity can be used; they move
// there step by step, as few requests may change region at a time. Within a region
// upstreams have weights by their slots.
func (g *Group) weigh(now time.Time) {
	capacity := g.capacityByRegion(now)
	target := spread(g.home, capacity, g.demand)
	settling := g.firstPick.IsZero() || now.Sub(g.firstPick) < settleFor
	if settling || g.maxShift <= 0 {
		g.shares = target
	} else {
		most := shiftPart * g.maxShift * float64(now.Sub(g.weighedAt)) / float64(shiftWindow)
		g.shares = g.shares.toward(target, most)
	}
	g.weighedAt = now
	for _, m := range g.all {
		share := math.Max(farWeight, g.shares[m.Region])
		m.weight = share * float64(max(m.Slots, 1)) / math.Max(1, capacity[m.Region])
	}
}

// capacityByRegion returns the slots of the upstreams that may get new work. Those
// of a failure domain that is being emptied are no capacity: a region that lost half
// of its upstreams to that and kept all its requests refused every second one while
// others had slots to spare.
func (g *Group) capacityByRegion(now time.Time) map[string]float64 {
	capacity := make(map[string]float64)
	for _, m := range g.all {
		if !g.leaves(m, now) {
			capacity[m.Region] += float64(max(m.Slots, 1))
		}
	}
	return capacity
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
