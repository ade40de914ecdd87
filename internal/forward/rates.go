package forward

import (
	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// rateLinesPerSecond and rateLineBurst bound the lines about limits that upstreams name.
const (
	rateLinesPerSecond = 5
	rateLineBurst      = 40
)

// noteRate takes in what an answer says of the limit of its upstream.
func (c *Proxy) noteRate(cl *call, from balance.Choice, r balance.RateLimit) {
	now := c.now()
	if !c.lane(cl.service.Name).group.ObserveLimit(now, from, r) {
		return
	}
	kind := "upstream names a limit"
	if r.PerSecond == ratelimit.Unlimited {
		kind = "upstream names no limit any more"
	}
	if left, ok := c.rateLines.Allow(now, kind); ok {
		klog.InfoS(kind, "service", cl.service.Name, "upstream", from.ID, "per_s", r.PerSecond, "request", cl.ID, "left_out", left)
	}
}

// notifyRates has other entries told of the limits of upstreams at once.
func (c *Proxy) notifyRates() {
	select {
	case c.rateNews <- struct{}{}:
	default:
	}
}

// UrgentUpdates has a value when other entries are to hear of the limits of upstreams at once.
func (c *Proxy) UrgentUpdates() <-chan struct{} { return c.rateNews }

// LimitUpdates returns what to tell other entries of the limits of upstreams.
func (c *Proxy) LimitUpdates(scope balance.UpdateScope) []balance.LimitUpdate {
	now := c.now()
	var out []balance.LimitUpdate
	for _, l := range c.allLanes() {
		l.group.VisitLimitUpdates(now, scope, func(n balance.LimitUpdate) { out = append(out, n) })
	}
	return out
}

// LimitSenders returns the ids of the entries that share the limit of an upstream with this one.
func (c *Proxy) LimitSenders() map[string]bool {
	out := make(map[string]bool)
	for _, l := range c.allLanes() {
		l.group.VisitLimitSenders(func(id string) { out[id] = true })
	}
	return out
}

// ApplyPeerLimits takes in what a peer told of the limits of upstreams in one of its lives.
func (c *Proxy) ApplyPeerLimits(peer string, life uint64, told []balance.LimitUpdate) {
	now := c.now()
	for _, l := range c.allLanes() {
		l.group.ApplyPeerLimits(now, peer, life, told)
	}
}

// StopRateLimited has the entry send no more requests to upstreams with limits: it is about to leave,
// and others will not hear of its requests.
func (c *Proxy) StopRateLimited() {
	now := c.now()
	for _, l := range c.allLanes() {
		l.group.Retire(now)
	}
}

// Rates returns the limits of upstreams, at most n of each service.
func (c *Proxy) Rates(n int) []balance.LimitStatus {
	now := c.now()
	var out []balance.LimitStatus
	for _, l := range c.allLanes() {
		out = append(out, l.group.LimitStatuses(now, n)...)
	}
	return out
}
