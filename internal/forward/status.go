package forward

import (
	"maps"
	"slices"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/poison"
	"github.com/loomkeel/loomkeel/internal/quota"
	"github.com/loomkeel/loomkeel/internal/share"
)

// CapUsage returns what the entry uses of the caps, with the refusals since the
// last call.
func (c *Proxy) CapUsage() []share.CapUsage {
	limits := make(map[[2]string]share.LimitStatus)
	for _, u := range c.opt.CapShares.StatusesAndReset(c.opt.BootClock()) {
		limits[[2]string{u.Service, u.Region}] = u
	}
	snap := c.snap.Load()
	if snap == nil {
		return nil
	}
	var out []share.CapUsage
	for name, svc := range snap.Services {
		for region := range svc.MaxInFlight {
			if !svc.Capped(region) {
				continue
			}
			u := limits[[2]string{name, region}]
			out = append(out, share.CapUsage{Service: name, Region: region, Usage: share.Usage{
				InFlight: c.lane(name).group.InFlight(region), Refused: u.Refused, Limit: u.Limit,
			}})
		}
	}
	return out
}

// VisitLoads calls visit with what the entries that are asked for have at each upstream.
func (c *Proxy) VisitLoads(whose balance.EntryFilter, visit func(upstream uint32, l balance.Load)) {
	now := c.now()
	for _, l := range c.allLanes() {
		l.group.VisitLoads(now, whose, visit)
	}
}

// MergePeerLoad takes in what a peer told.
func (c *Proxy) MergePeerLoad(p balance.PeerLoad) {
	now := c.now()
	for _, l := range c.allLanes() {
		l.group.ApplyPeerLoad(now, p)
	}
}

// ReuseLimit returns what this entry knows of upstreams that forget connections.
func (c *Proxy) ReuseLimit() ReuseLimit {
	if p, ok := c.transport.(*Pool); ok {
		return p.rests.current(c.now())
	}
	return ReuseLimit{}
}

// MergeReuseLimit takes in what a peer knows of upstreams that forget connections.
func (c *Proxy) MergeReuseLimit(d ReuseLimit) {
	if p, ok := c.transport.(*Pool); ok {
		p.rests.heard(d, c.now())
	}
}

// PoisonClaims returns what to tell other entries of requests under which upstreams ended.
func (c *Proxy) PoisonClaims(n int, relay bool) []poison.Claim {
	return c.poison.Claims(c.now(), n, relay)
}

// MergePoisonClaims takes in what other entries told of such requests.
func (c *Proxy) MergePoisonClaims(words []poison.Claim) {
	now := c.now()
	for _, w := range words {
		c.poison.HandleClaim(now, w)
	}
}

// OrganisationLimits returns the limits of the organisations.
func (c *Proxy) OrganisationLimits() *quota.Limiter { return c.limits }

// Tick drops what is known of such requests and holds no more, and ends requests whose
// deadline has passed while the machine was suspended. It is called every now and then.
func (c *Proxy) Tick() {
	now := c.opt.SyncNow()
	c.deadlines.expire(now)
	c.poison.Expire(now)
}

// PoisonStatus returns how many such requests are known.
func (c *Proxy) PoisonStatus() poison.Status { return c.poison.Status(c.now()) }

func (c *Proxy) allLanes() []*lane {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.Collect(maps.Values(c.lanes))
}

// DrainingUpstreams returns the ids of the upstreams that said that they drain.
func (c *Proxy) DrainingUpstreams() []string {
	now := c.now()
	c.mu.RLock()
	defer c.mu.RUnlock()
	var ids []string
	for _, l := range c.lanes {
		ids = append(ids, l.group.SelfDraining(now)...)
	}
	return ids
}

// ServiceStatus is the state of one service, for dumps.
type ServiceStatus struct {
	Waiting   int                `json:"waiting"`
	Shares    map[string]float64 `json:"move_shares,omitempty"`
	Upstreams []balance.Status   `json:"upstreams"`
}

// Dump returns the state of all services.
func (c *Proxy) Dump() map[string]ServiceStatus {
	now := c.now()
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make(map[string]ServiceStatus, len(c.lanes))
	for name, l := range c.lanes {
		out[name] = ServiceStatus{l.queue.Len(), l.shift.Shares(), l.group.Dump(now)}
	}
	return out
}
