package forward

import "github.com/loomkeel/loomkeel/internal/balance"

// notifyLimitUpdates signals that limit updates should be sent to other entries without delay.
func (p *Proxy) notifyLimitUpdates() {
	select {
	case p.urgentLimitUpdates <- struct{}{}:
	default:
	}
}

// UrgentLimitUpdates returns a channel that receives a value when limit updates should be sent to
// other entries without delay.
func (p *Proxy) UrgentLimitUpdates() <-chan struct{} { return p.urgentLimitUpdates }

// LimitUpdates returns the limit updates to send to other entries.
func (p *Proxy) LimitUpdates(scope balance.UpdateScope) []balance.LimitUpdate {
	now := p.now()
	var out []balance.LimitUpdate
	for _, state := range p.allServices() {
		state.balancer.VisitLimitUpdates(now, scope, func(u balance.LimitUpdate) { out = append(out, u) })
	}
	return out
}

// LimitSenders returns the IDs of the entries that share an upstream limit with this entry.
func (p *Proxy) LimitSenders() map[string]bool {
	out := make(map[string]bool)
	for _, state := range p.allServices() {
		state.balancer.VisitLimitSenders(func(id string) { out[id] = true })
	}
	return out
}

// ApplyLimitUpdates applies the limit updates that an incarnation of a peer has sent.
func (p *Proxy) ApplyLimitUpdates(peer string, incarnation uint64, updates []balance.LimitUpdate) {
	now := p.now()
	for _, state := range p.allServices() {
		state.balancer.ApplyLimitUpdates(now, peer, incarnation, updates)
	}
}

// SetMember sets whether the other entries count this one as a member of the fleet. While they do not,
// it sends nothing to upstreams whose limits all entries share.
func (p *Proxy) SetMember(member bool) {
	p.excluded.Store(!member)
	now := p.now()
	for _, state := range p.allServices() {
		state.balancer.SetMember(member, now)
	}
}

// UpstreamLimits returns the state of the upstream limits, at most n for each service.
func (p *Proxy) UpstreamLimits(n int) []balance.LimitStatus {
	now := p.now()
	var out []balance.LimitStatus
	for _, state := range p.allServices() {
		out = append(out, state.balancer.LimitStatuses(now, n)...)
	}
	return out
}
