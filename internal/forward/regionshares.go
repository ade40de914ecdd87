package forward

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/demand"
)

// planShares moves the shares of regions of each service towards what demand and capacity call for.
func (p *Proxy) planShares(now time.Time) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for name, state := range p.services {
		if busy, requests := state.balancer.TakeWork(); requests > 0 {
			p.demand.RecordWork(name, busy, requests, now)
		}
		sum := p.demand.Summary(name, now)
		d := balance.ServiceDemand{ByRegion: demand.ByRegion(sum.Rows), Work: sum.Work.Mean(), Entries: sum.Entries}
		if decision, notable := state.balancer.PlanShares(now, d); notable {
			klog.InfoS("shares of regions changed", "service", name, "shares", decision.Shares, "wanted", decision.Wanted,
				"demand", decision.Demand, "capacity", decision.Capacity, "entries", decision.Entries)
		}
	}
}

// RegionShares returns the shares of regions of each service, for metrics.
func (p *Proxy) RegionShares() map[string]balance.ShareDecision {
	now := p.now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make(map[string]balance.ShareDecision, len(p.services))
	for name, state := range p.services {
		out[name] = state.balancer.ShareDecision(now)
	}
	return out
}
