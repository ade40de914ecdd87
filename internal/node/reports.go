package node

import (
	"net/netip"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/demand"
	"github.com/loomkeel/loomkeel/internal/forward"
	"github.com/loomkeel/loomkeel/internal/inflight"
	"github.com/loomkeel/loomkeel/internal/model"
)

// idleMaxInFlight is the number of requests in flight up to which a node counts as
// idle in reports. Nodes that look-ups do not return still receive single requests,
// from callers with an old look-up answer and from checks of which configuration is in
// force. For so few requests it makes no difference to other nodes whether the report
// arrives at once or half a second later.
const idleMaxInFlight = 2

// ReportOptions returns the options for the exchange of reports between this node, self,
// and the other nodes.
func (n *Node) ReportOptions(self model.Member) inflight.Options {
	return inflight.Options{
		Address:            self.Agent,
		Entry:              self.ID,
		Incarnation:        self.Incarnation,
		Fleet:              func() inflight.Fleet { return n.fleet.get(self, n.members.Load()) },
		Counts:             n.requestCounts,
		Answered:           n.answered,
		Isolated:           n.Entry.Proxy.Reach().Isolated,
		MaxConnIdle:        n.maxConnIdle,
		Claims:             n.Entry.Proxy.PoisonClaims,
		OrganisationLimits: organisationLimits{n.Entry.Proxy.OrganisationLimits(), n},
		UpstreamLimits:     upstreamLimits{n.Entry.Proxy, n},
		Rollouts:           n.Entry.Proxy.Rollouts(),
		Demand:             demandReports{n.Entry.Proxy.Demand(), n.Entry.Proxy},
		Registration:       func() model.Registration { return (*n.registration.Load())() },
		Leaving:            n.stopping.Load,
		Busy:               n.busy,
		OnReport:           n.handleReport,
		Now:                n.syncNow,
		OnUnknownSender:    func(from netip.AddrPort) { n.UnknownSenders.RecordReport(from.String(), n.now()) },
	}
}

// busy reports whether other nodes need the node's reports without delay.
func (n *Node) busy() bool {
	p := n.Entry.Proxy
	return p.InFlight() > idleMaxInFlight || p.OrganisationLimits().InUse(n.now()) || len(p.LimitSenders()) > 0
}

// requestCounts returns the load at each upstream from the entries that filter selects.
func (n *Node) requestCounts(filter balance.EntryFilter) []inflight.Count {
	var out []inflight.Count
	n.Entry.Proxy.VisitLoads(filter, func(upstream uint32, l balance.Load) {
		out = append(out, inflight.Count{Upstream: upstream, Load: l})
	})
	return out
}

// answered reports whether upstreams have recently answered one of the entries that filter selects.
func (n *Node) answered(filter balance.EntryFilter) bool {
	return n.Entry.Proxy.Reach().Answered(n.now(), filter.Own, filter.Peers)
}

// handleReport applies a report from a peer to the state of the proxy.
func (n *Node) handleReport(peer string, r *inflight.Report) {
	n.Entry.Proxy.ApplyPoisonClaims(r.Claims)
	if r.Scope == inflight.ScopeNone {
		return
	}
	if r.Answered {
		n.Entry.Proxy.Reach().RecordPeerAnswers(n.now(), peer)
	}
	if len(r.Counts) > 0 {
		n.activate()
	}
	load := balance.PeerLoad{Peer: peer, First: r.First, Last: r.Last, Loads: make(map[uint32]balance.Load, len(r.Counts))}
	for _, c := range r.Counts {
		load.Loads[c.Upstream] = c.Load
	}
	n.Entry.Proxy.ApplyPeerLoad(load)
	if r.MaxConnIdleLeft > 0 {
		n.Entry.Proxy.ApplyReuseLimit(forward.ReuseLimit{MaxConnIdle: r.MaxConnIdle, Until: n.now().Add(r.MaxConnIdleLeft)})
	}
}

// maxConnIdle returns the longest idle time of a connection that may be reused for a
// request that may run only once, and for how long that limit still holds. Both are 0 if
// there is no limit. Upstreams may have lost the state of connections idle for longer.
func (n *Node) maxConnIdle() (idle, left time.Duration) {
	limit := n.Entry.Proxy.ReuseLimit()
	if limit.Until.IsZero() {
		return 0, 0
	}
	return limit.MaxConnIdle, limit.Until.Sub(n.now())
}

// demandReports implements inflight.Demand.
type demandReports struct {
	*demand.Tracker
	proxy *forward.Proxy
}

// Services implements inflight.Demand. An idle entry does not know the load of upstreams and reports
// what its hub asks for.
func (d demandReports) Services(now time.Time) []string {
	out := d.proxy.PressedServices(now)
	for _, service := range d.Announced(now) {
		if !slices.Contains(out, service) {
			out = append(out, service)
		}
	}
	return out
}
