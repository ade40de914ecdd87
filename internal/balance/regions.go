package balance

import (
	"math"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

const (
	// farWeight is the weight of regions that nothing has to spill to: enough to
	// have an order among their upstreams when all nearer ones are gone.
	minRegionWeight = 1e-6
)

// shares says what part of the own region's requests goes to each region.
type regionShares map[string]float64

// spread returns the shares that load all regions alike. Demand is what part of all
// requests each region asks for, capacity the slots that may be used there. A region
// that has the capacity for its demand keeps its requests; the others send what is
// too much for them to where there is capacity to spare.
func spreadDemand(home string, capacity, demand map[string]float64) regionShares {
	total := 0.0
	for _, c := range capacity {
		total += c
	}
	if total <= 0 {
		return regionShares{home: 1}
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
	out := regionShares{home: kept}
	for region, s := range spare {
		if region != home && spareTotal > 0 {
			out[region] = (1 - kept) * s / spareTotal
		}
	}
	return out
}

// weigh sets the weights of the upstreams for the requests of the own region: by the
// shares of the regions, and within a region by slots.
func (b *Balancer) updateWeights(now time.Time, home string, demand map[string]float64) {
	capacity := b.capacityByRegion(now)
	share := spreadDemand(home, capacity, demand)
	for _, u := range b.upstreams {
		weight := math.Max(minRegionWeight, share[u.Region])
		u.weight = weight * float64(max(u.Slots, 1)) / math.Max(1, capacity[u.Region])
	}
}

// capacityByRegion returns the slots of the upstreams that may get new work. Those
// of a failure domain that is being emptied are no capacity: a region that loses half
// of its upstreams to that and keeps all its requests refuses every second one while
// others have slots to spare.
func (b *Balancer) capacityByRegion(now time.Time) map[string]float64 {
	capacity := make(map[string]float64)
	for _, u := range b.upstreams {
		if !b.isDraining(u, now) {
			capacity[u.Region] += float64(max(u.Slots, 1))
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
