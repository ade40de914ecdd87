package forward

import (
	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// rateLogsPerSecond and rateLogBurst limit the log lines about rate limits of upstreams.
const (
	rateLogsPerSecond = 5
	rateLogBurst      = 40
)

// recordRate records what a response says about the rate limit of its upstream.
func (p *Proxy) recordRate(cl *call, from balance.Choice, r balance.RateLimit) {
	now := p.now()
	if !p.serviceState(cl.service.Name).balancer.ObserveLimit(now, from, r) {
		return
	}
	kind := "upstream set a rate limit"
	if r.PerSecond == ratelimit.Unlimited {
		kind = "upstream removed its rate limit"
	}
	if left, ok := p.rateLog.Allow(now, kind); ok {
		klog.InfoS(kind, "service", cl.service.Name, "upstream", from.ID, "per_s", r.PerSecond, "request", cl.ID, "left_out", left)
	}
}

// notifyRates signals that changed rate limits should be sent to other entries without delay.
func (p *Proxy) notifyRates() {
	select {
	case p.ratesChanged <- struct{}{}:
	default:
	}
}

// UrgentUpdates returns a channel that receives a value when changed rate limits of upstreams
// should be sent to other entries without delay.
func (p *Proxy) UrgentUpdates() <-chan struct{} { return p.ratesChanged }

// LimitUpdates returns the updates about rate limits of upstreams to send to other entries.
func (p *Proxy) LimitUpdates(scope balance.UpdateScope) []balance.LimitUpdate {
	now := p.now()
	var out []balance.LimitUpdate
	for _, state := range p.allServices() {
		state.balancer.VisitLimitUpdates(now, scope, func(n balance.LimitUpdate) { out = append(out, n) })
	}
	return out
}

// LimitSenders returns the IDs of the entries that share a rate limit of an upstream with this
// entry.
func (p *Proxy) LimitSenders() map[string]bool {
	out := make(map[string]bool)
	for _, state := range p.allServices() {
		state.balancer.VisitLimitSenders(func(id string) { out[id] = true })
	}
	return out
}

// ApplyPeerLimits applies the updates that an incarnation of a peer sent about rate limits of
// upstreams.
func (p *Proxy) ApplyPeerLimits(peer string, incarnation uint64, updates []balance.LimitUpdate) {
	now := p.now()
	for _, state := range p.allServices() {
		state.balancer.ApplyPeerLimits(now, peer, incarnation, updates)
	}
}

// StopRateLimited stops sending requests to upstreams with rate limits. It is called before the
// entry leaves, because it reports no requests to the other entries after that.
func (p *Proxy) StopRateLimited() {
	now := p.now()
	for _, state := range p.allServices() {
		state.balancer.Retire(now)
	}
}

// UpstreamLimits returns the state of the rate limits of upstreams, at most n for each service.
func (p *Proxy) UpstreamLimits(n int) []balance.LimitStatus {
	now := p.now()
	var out []balance.LimitStatus
	for _, state := range p.allServices() {
		out = append(out, state.balancer.LimitStatuses(now, n)...)
	}
	return out
}
