package forward

import (
	"maps"
	"slices"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/overload"
	"github.com/loomkeel/loomkeel/internal/poison"
	"github.com/loomkeel/loomkeel/internal/quota"
	"github.com/loomkeel/loomkeel/internal/share"
)

// CapUsage returns the entry's use of the in-flight caps. The numbers of refusals are those
// since the last call.
func (p *Proxy) CapUsage() []share.CapUsage {
	limits := make(map[[2]string]share.LimitStatus)
	for _, use := range p.opt.CapShares.StatusesAndReset(p.opt.BootClock()) {
		limits[[2]string{use.Service, use.Region}] = use
	}
	snap := p.snap.Load()
	if snap == nil {
		return nil
	}
	var out []share.CapUsage
	for name, svc := range snap.Services {
		for region := range svc.MaxInFlight {
			if !svc.Capped(region) {
				continue
			}
			use := limits[[2]string{name, region}]
			out = append(out, share.CapUsage{Service: name, Region: region, Usage: share.Usage{
				InFlight: p.serviceState(name).balancer.InFlight(region), Refused: use.Refused, Limit: use.Limit,
			}})
		}
	}
	return out
}

// VisitLoads calls visit with each upstream and the load that the entries selected by whose
// have there. Its own requests and their outcomes are left out while they may be due to its own
// links.
func (p *Proxy) VisitLoads(whose balance.EntryFilter, visit func(upstream uint32, load balance.Load)) {
	now := p.now()
	whose.Own = whose.Own && !p.reach.LoadSuspect(now)
	whose.OmitOwnOutcomes = p.failuresSuspect()
	for _, state := range p.allServices() {
		state.balancer.VisitLoads(now, whose, visit)
	}
}

// ApplyPeerLoad applies the load that a peer reported.
func (p *Proxy) ApplyPeerLoad(load balance.PeerLoad) {
	now := p.now()
	for _, state := range p.allServices() {
		state.balancer.ApplyPeerLoad(now, load)
	}
}

// ReuseLimit returns the limit on the reuse of idle connections that other entries must keep too.
func (p *Proxy) ReuseLimit() ReuseLimit {
	if pool, ok := p.transport.(*Pool); ok && !p.failuresSuspect() {
		return pool.reuse.current(p.now())
	}
	return ReuseLimit{}
}

// ApplyReuseLimit applies the limit on the reuse of idle connections that a peer reported.
func (p *Proxy) ApplyReuseLimit(d ReuseLimit) {
	if pool, ok := p.transport.(*Pool); ok {
		pool.reuse.merge(d, p.now())
	}
}

// PoisonClaims returns at most n claims to send to other entries about requests that crashed
// upstreams. If relay is set, they include claims of other entries. There are none while it is not
// clear whether connections broke by crashes or because of the entry's own links.
func (p *Proxy) PoisonClaims(n int, relay bool) []poison.Claim {
	if !p.reach.Isolated() && p.failuresSuspect() {
		return nil
	}
	return p.poison.Claims(p.now(), n, relay)
}

// ApplyPoisonClaims applies claims of other entries about requests that crashed upstreams.
func (p *Proxy) ApplyPoisonClaims(claims []poison.Claim) {
	now := p.now()
	for _, claim := range claims {
		p.poison.ApplyClaim(now, claim)
	}
}

// OrganisationLimits returns the limiter of the organisations' requests.
func (p *Proxy) OrganisationLimits() *quota.Limiter { return p.organisationLimits }

// Tick ends requests whose deadline passed while the machine was suspended, divides the room of
// services that are short of it, and drops expired records of requests that crashed upstreams. It is called periodically.
func (p *Proxy) Tick() {
	now := p.opt.SyncNow()
	p.deadlines.expire(now)
	p.updateFairShares(now)
	p.poison.Expire(now)
	p.planShares(now)
}

// PoisonStatus returns the state of the records of requests that crashed upstreams.
func (p *Proxy) PoisonStatus() poison.Status { return p.poison.Status(p.now()) }

func (p *Proxy) allServices() []*serviceState {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return slices.Collect(maps.Values(p.services))
}

// DrainingUpstreams returns the IDs of the upstreams that reported that they are draining.
func (p *Proxy) DrainingUpstreams() []string {
	now := p.now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	var ids []string
	for _, state := range p.services {
		ids = append(ids, state.balancer.SelfDraining(now)...)
	}
	return ids
}

// ServiceStatus is the state of one service, for dumps.
type ServiceStatus struct {
	// Waiting is the number of requests in the queue, and Shares the part of the requests that
	// each move currently sends to its target region, by the path of the move.
	Waiting int                `json:"waiting"`
	Shares  map[string]float64 `json:"move_shares,omitempty"`
	// Ranks is the state of the requests that wait in order for an upstream, by rank.
	Ranks     []overload.RankStatus `json:"ranks,omitempty"`
	Upstreams []balance.Status      `json:"upstreams"`
	// Regions are the shares of regions and what they were decided from.
	Regions balance.ShareDecision `json:"regions"`
	// SecondSends counts the requests that were sent to a second upstream, or were not for a reason.
	SecondSends HedgeCounts `json:"second_sends"`
}

// Dump returns the state of each service by name.
func (p *Proxy) Dump() map[string]ServiceStatus {
	now := p.now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make(map[string]ServiceStatus, len(p.services))
	for name, state := range p.services {
		out[name] = ServiceStatus{
			Waiting: state.queue.Len(), Shares: state.shift.Shares(), Ranks: state.orderStatus(), Upstreams: state.balancer.Dump(now),
			Regions: state.balancer.ShareDecision(now), SecondSends: state.hedges.counts(),
		}
	}
	return out
}
