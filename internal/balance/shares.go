package balance

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// comfortableUse is the use of a region's capacity up to which no requests are moved away: bursts
	// and uneven objects still find a free slot. Moved objects are cold at first, which costs more than
	// the short waits below this use.
	comfortableUse = 0.7
	// maxShareChange is the part of a region's requests that may be planned for other regions than
	// before within shareChangeWindow. It leaves room for the changes that single upstreams cause.
	maxShareChange    = 0.05
	shareChangeWindow = 2 * time.Second
	// returnRate is the speed of the return to even shares after the pressure, as a share of that of
	// other changes.
	returnRate = 1.0 / 3
	// shareSlack is the distance from the wanted shares within which shares stay as they are, so that
	// noise in the demand moves no objects.
	shareSlack = 0.02
	// minEntryShare is the share of the entries known before that must still report for shares to
	// change; entryMemory is the time constant with which the number known before is forgotten. Of a
	// divided fleet the larger part goes on, as its callers do; the smaller one knows too little.
	minEntryShare = 0.6
	entryMemory   = 30 * time.Second
	// maxHold is the longest time for which shares stay as they are for that reason.
	maxHold = 5 * time.Second
	// capacityMemory is the time constant of the means of capacities.
	capacityMemory = 2 * time.Second
)

// RegionLoad is what a decision about the shares of regions depends on.
type RegionLoad struct {
	// Shares holds the even shares by the region of the requests; see spreadDemand.
	Shares map[string]map[string]float64
	// Demand is the number of slots that the requests from each region need on average, Capacity the
	// number of usable slots of each region's upstreams.
	Demand, Capacity map[string]float64
}

// use returns the slots needed in each region if the shares are kept.
func (l RegionLoad) use() map[string]float64 {
	use := make(map[string]float64)
	for origin, shares := range l.Shares {
		for region, s := range shares {
			use[region] += s * l.Demand[origin]
		}
	}
	return use
}

// WantedShares returns the shares of the requests from origin by which the fullest regions come down to
// the use of the others. Only what is beyond a comfortable use is moved, in the same proportion from
// all regions that send there, to regions with capacity to spare. Without such a region the result
// holds the even shares. It does not depend on earlier decisions, so entries with the same measurements
// want the same.
func WantedShares(l RegionLoad, origin string) map[string]float64 {
	out := maps.Clone(l.Shares[origin])
	use := l.use()
	level := l.level(use)
	spare, spareTotal := make(map[string]float64), 0.0
	for region, c := range l.Capacity {
		spare[region] = math.Max(0, level*c-use[region])
		spareTotal += spare[region]
	}
	if spareTotal <= 0 {
		return out
	}
	moved := 0.0
	for region, s := range l.Shares[origin] {
		if excess := use[region] - level*l.Capacity[region]; excess > 0 && use[region] > 0 {
			part := s * excess / use[region]
			out[region] -= part
			moved += part
		}
	}
	for region, s := range spare {
		out[region] += moved * s / spareTotal
	}
	return out
}

// level returns the use of the capacity up to which regions are filled: comfortableUse, or the mean
// use if that is higher.
func (l RegionLoad) level(use map[string]float64) float64 {
	var need, capacity float64
	for _, c := range l.Capacity {
		capacity += c
	}
	for _, n := range use {
		need += n
	}
	if capacity <= 0 {
		return comfortableUse
	}
	return math.Max(comfortableUse, need/capacity)
}

// fullestUse returns the largest use of a region's capacity if the even shares are kept.
func (l RegionLoad) fullestUse() float64 {
	most := 0.0
	for region, need := range l.use() {
		if c := l.Capacity[region]; c > 0 {
			most = math.Max(most, need/c)
		}
	}
	return most
}

// stepShares returns the offsets from the even shares after one step from current towards wanted, which
// changes at most the part most of the requests. Within shareSlack of the wanted offsets nothing
// changes. The offsets sum to 0 if those of current and wanted do.
func stepShares(current, wanted map[string]float64, slack, most float64) map[string]float64 {
	distance := shareDistance(current, wanted)
	change := math.Min(distance-slack, most)
	if change <= 0 {
		return current
	}
	out := make(map[string]float64)
	for region := range union(current, wanted) {
		d := current[region] + (wanted[region]-current[region])*change/distance
		if d != 0 {
			out[region] = d
		}
	}
	return out
}

// shareDistance returns the part of the requests that go to different regions by two maps of shares.
func shareDistance(x, y map[string]float64) float64 {
	sum := 0.0
	for region := range union(x, y) {
		sum += math.Abs(x[region] - y[region])
	}
	return sum / 2
}

// union returns the keys of two maps.
func union(x, y map[string]float64) map[string]bool {
	out := make(map[string]bool, len(x)+len(y))
	for k := range x {
		out[k] = true
	}
	for k := range y {
		out[k] = true
	}
	return out
}

// withOffsets returns even shares changed by offsets. No share is negative and the sum is 1.
func withOffsets(even, offsets map[string]float64) map[string]float64 {
	out := maps.Clone(even)
	sum := 0.0
	for region, d := range offsets {
		out[region] = math.Max(0, out[region]+d)
	}
	for _, s := range out {
		sum += s
	}
	for region := range out {
		out[region] /= sum
	}
	return out
}

// ServiceDemand is the demand for a service as one entry knows it.
type ServiceDemand struct {
	// ByRegion is the rate of requests from each region, per second.
	ByRegion map[string]float64
	// Work is the mean time for which a request holds a slot, in seconds, over all entries; 0 if
	// unknown.
	Work float64
	// Entries is the number of entries whose requests are counted.
	Entries int
}

// sharePlan is the state of the decision about the shares of the own region's requests.
type sharePlan struct {
	at time.Time
	// offsets are the changes of the even shares, wanted those aimed at.
	offsets, wanted map[string]float64
	// work is the last known mean time for which a request holds a slot, in seconds, capacity a slow
	// mean of the regions' slots.
	work     float64
	capacity map[string]float64
	demand   map[string]float64
	// entries is the number of entries known before, which decays.
	entries float64
	// held is the time for which the shares have been kept because entries no longer report.
	held time.Duration
	// logged are the offsets of the last logged decision.
	logged map[string]float64
}

// ShareDecision describes the shares of the own region's requests and what they were decided from.
type ShareDecision struct {
	// Shares is the part of the requests that goes to each region, Wanted the part aimed at.
	Shares map[string]float64 `json:"shares"`
	Wanted map[string]float64 `json:"wanted"`
	// Demand and Capacity are in slots, by region. Entries is the number of entries whose demand is
	// known.
	Demand   map[string]float64 `json:"demand"`
	Capacity map[string]float64 `json:"capacity"`
	Entries  int                `json:"entries"`
	// Moving is the part of the requests that is still to be moved.
	Moving float64 `json:"moving"`
}

// minLoggedChange is the change of the shares from which a decision is reported again.
const minLoggedChange = 0.05

// PlanShares moves the shares of the own region's requests one step towards those that the demand and
// the capacity by region call for, and reports whether they have changed notably since the last time
// that it did. It is called a few times a second.
func (b *Balancer) PlanShares(now time.Time, d ServiceDemand) (ShareDecision, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &b.plan
	if len(d.ByRegion) == 0 && len(p.offsets) == 0 {
		// Without demand nothing is planned: most nodes of a large fleet have no requests.
		p.at, p.wanted = time.Time{}, nil
		return ShareDecision{}, false
	}
	elapsed := now.Sub(p.at)
	first := p.at.IsZero()
	p.at = now
	if first || elapsed <= 0 {
		return ShareDecision{}, false
	}
	elapsed = min(elapsed, time.Second)
	p.measureDemand(d)
	b.measureCapacity(now, elapsed)
	rate := 1.0
	switch {
	case p.hold(d.Entries, elapsed):
		return ShareDecision{}, false
	case !b.followsDemand(now) || len(d.ByRegion) == 0 || p.work <= 0:
		p.wanted, rate = nil, returnRate
	default:
		l := b.regionLoad(now)
		p.wanted = offsetsFrom(l.Shares[b.region], WantedShares(l, b.region))
		if l.fullestUse() <= comfortableUse {
			rate = returnRate
		}
	}
	b.stepPlan(now, rate*maxShareChange*elapsed.Seconds()/shareChangeWindow.Seconds())
	return b.reportPlan(now, d.Entries)
}

// stepPlan moves the offsets by at most a part of the requests, and the weights of the upstreams with
// them.
func (b *Balancer) stepPlan(now time.Time, most float64) {
	p := &b.plan
	slack := shareSlack
	if p.wanted == nil {
		slack = 0
	}
	next := stepShares(p.offsets, p.wanted, slack, most)
	if shareDistance(next, p.offsets) == 0 {
		return
	}
	p.offsets = next
	b.updateWeights(now)
}

// reportPlan returns the decision and whether it differs notably from the one logged last.
func (b *Balancer) reportPlan(now time.Time, entries int) (ShareDecision, bool) {
	p := &b.plan
	if shareDistance(p.offsets, p.logged) < minLoggedChange {
		return ShareDecision{}, false
	}
	p.logged = p.offsets
	return b.shareDecision(now, entries), true
}

// ShareDecision returns the shares of the own region's requests and what they were decided from.
func (b *Balancer) ShareDecision(now time.Time) ShareDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shareDecision(now, int(b.plan.entries))
}

func (b *Balancer) shareDecision(now time.Time, entries int) ShareDecision {
	p := &b.plan
	even := b.evenShares(now)[b.region]
	return ShareDecision{
		Shares: withOffsets(even, p.offsets), Wanted: withOffsets(even, p.wanted),
		Demand: maps.Clone(p.demand), Capacity: maps.Clone(p.capacity), Entries: entries,
		Moving: shareDistance(p.offsets, p.wanted),
	}
}

// hold reports whether shares must stay as they are, for a while, because entries that were known
// before no longer report.
func (p *sharePlan) hold(entries int, elapsed time.Duration) bool {
	p.entries = math.Max(float64(entries), p.entries*math.Exp(-float64(elapsed)/float64(entryMemory)))
	if float64(entries) >= minEntryShare*p.entries {
		p.held = 0
		return false
	}
	p.held += elapsed
	return p.held <= maxHold
}

// measureDemand converts the rates of requests to slots.
func (p *sharePlan) measureDemand(d ServiceDemand) {
	if d.Work > 0 && !math.IsInf(d.Work, 0) {
		p.work = d.Work
	}
	p.demand = make(map[string]float64, len(d.ByRegion))
	for region, rate := range d.ByRegion {
		if rate > 0 && !math.IsInf(rate, 0) {
			p.demand[region] = rate * p.work
		}
	}
}

// measureCapacity moves the means of the regions' capacity.
func (b *Balancer) measureCapacity(now time.Time, elapsed time.Duration) {
	p := &b.plan
	w := 1 - math.Exp(-float64(elapsed)/float64(capacityMemory))
	current := b.currentCapacity(now, p.work)
	if p.capacity == nil {
		p.capacity = current
		return
	}
	maps.DeleteFunc(p.capacity, func(region string, _ float64) bool { _, ok := current[region]; return !ok })
	for region, c := range current {
		p.capacity[region] += w * (c - p.capacity[region])
	}
}

// followsDemand reports whether the shares of regions may follow the demand: the upstreams tell their
// load and lie in several regions, and requests have objects.
func (b *Balancer) followsDemand(now time.Time) bool {
	if !b.routed || !b.hasObjects {
		return false
	}
	regions := 0
	for _, list := range b.byRegion {
		if len(list) > 0 {
			regions++
		}
	}
	toldLoad := func(u *upstreamState) bool { return !u.reportedAt.IsZero() && now.Sub(u.reportedAt) < 10*reportDecay }
	return regions > 1 && slices.ContainsFunc(b.upstreams, toldLoad)
}

// regionLoad returns the input of WantedShares.
func (b *Balancer) regionLoad(now time.Time) RegionLoad {
	return RegionLoad{Shares: b.evenShares(now), Demand: b.plan.demand, Capacity: b.plan.capacity}
}

// evenShares returns the shares of the requests from each region with an entry at even demand.
func (b *Balancer) evenShares(now time.Time) map[string]map[string]float64 {
	capacity, demand := b.capacityByRegion(now), demandByRegion(b.entries)
	out := map[string]map[string]float64{b.region: spreadDemand(b.region, capacity, demand)}
	for region := range demand {
		out[region] = spreadDemand(region, capacity, demand)
	}
	return out
}

// offsetsFrom returns the differences of shares from even ones, nil if there is none.
func offsetsFrom(even, shares map[string]float64) map[string]float64 {
	if shareDistance(even, shares) < 1e-9 {
		return nil
	}
	out := make(map[string]float64)
	for region := range union(even, shares) {
		out[region] = shares[region] - even[region]
	}
	return out
}
