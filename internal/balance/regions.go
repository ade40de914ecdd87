package balance

import (
	"math"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

const (
	// minRegionWeight is the weight of regions that receive no spillover. It is positive so that
	// their upstreams are still ordered when all upstreams of the other regions are gone.
	minRegionWeight = 1e-6
)

// regionShares holds the share of the own region's requests that goes to each region.
type regionShares map[string]float64

// spreadDemand returns the shares of the requests from ownRegion with which all regions together
// spread the load evenly. demand holds the share of all requests that originates in each region,
// capacity the usable slots of each region. A region with enough capacity for its demand keeps all
// its requests; the others send their excess to regions with spare capacity, in proportion to that.
func spreadDemand(ownRegion string, capacity, demand map[string]float64) regionShares {
	total := 0.0
	for _, c := range capacity {
		total += c
	}
	if total <= 0 {
		return regionShares{ownRegion: 1}
	}
	spare := make(map[string]float64)
	spareTotal := 0.0
	for region, c := range capacity {
		spare[region] = math.Max(0, c/total-demand[region])
		spareTotal += spare[region]
	}
	kept := 1.0
	if demand[ownRegion] > 0 {
		kept = math.Min(1, capacity[ownRegion]/total/demand[ownRegion])
	}
	out := regionShares{ownRegion: kept}
	for region, s := range spare {
		if region != ownRegion && spareTotal > 0 {
			out[region] = (1 - kept) * s / spareTotal
		}
	}
	return out
}

// updateWeights sets the weights of the upstreams for requests from this entry's region: by the shares
// of the regions, and within a region by slots.
func (b *Balancer) updateWeights(now time.Time) {
	b.weightsStale = false
	capacity := b.capacityByRegion(now)
	share := spreadDemand(b.region, capacity, demandByRegion(b.entries))
	if len(b.plan.offsets) > 0 {
		share = withOffsets(share, b.plan.offsets)
	}
	for _, u := range b.upstreams {
		weight := math.Max(minRegionWeight, share[u.Region])
		u.weight = weight * float64(max(u.Slots, 1)) / math.Max(1, capacity[u.Region])
	}
}

// capacityByRegion returns the slots of the upstreams that may get new requests. Upstreams of a
// failure domain that drains do not count: a region that loses half of its upstreams in this way
// and kept all its requests would refuse every second one while other regions have free slots.
func (b *Balancer) capacityByRegion(now time.Time) map[string]float64 {
	capacity := make(map[string]float64)
	for _, u := range b.upstreams {
		if !b.isDraining(u, now) {
			capacity[u.Region] += float64(max(u.Slots, 1))
		}
	}
	return capacity
}

// demandByRegion returns the share of a service's requests that originates in each region. All
// regions with an entry are assumed to have equal demand.
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
