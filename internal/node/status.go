package node

import (
	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/entry"
	"github.com/loomkeel/loomkeel/internal/fairshare"
	"github.com/loomkeel/loomkeel/internal/forward"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/poison"
	"github.com/loomkeel/loomkeel/internal/quota"
	"github.com/loomkeel/loomkeel/internal/reach"
	"github.com/loomkeel/loomkeel/internal/view"
)

// Status is a summary of the node's state, for metrics.
type Status struct {
	Ready         bool   `json:"ready"`
	Stopping      bool   `json:"stopping"`
	ConfigVersion uint64 `json:"config_version"`
	Members       int    `json:"members"`
	// Member is whether the other nodes count this one as a member. While they do not, it sends
	// nothing to cold and limited upstreams.
	Member bool `json:"member"`
	// Upstreams is the number of upstreams of each service, and Draining the number of
	// those that get no new requests.
	Upstreams map[string]int `json:"upstreams"`
	Draining  map[string]int `json:"leaving"`
	InFlight  int            `json:"in_flight"`
	// Poison holds the numbers of known requests that crashed upstreams.
	Poison poison.Status `json:"poison"`
	// Reach is the evidence of whether the node reaches the upstreams.
	Reach reach.Status `json:"reach"`
	// Handovers counts the requests that were handed over to other nodes, and by them.
	Handovers forward.HandoverStatus `json:"handovers"`
	// FairShares is the state of the services whose room is divided among ranks and organisations.
	FairShares map[string]fairshare.Status `json:"fair_shares,omitempty"`
	// Store is the state of the platform's key-value store as the node observes it.
	Store view.StoreStatus `json:"service"`
}

// Status returns a summary of the node's state. It needs no snapshot: metrics are read often.
func (n *Node) Status() Status {
	s := Status{
		Ready: n.Ready(), Stopping: n.stopping.Load(), Members: len(*n.members.Load()), InFlight: n.Entry.Proxy.InFlight(),
	}
	s.Member, _ = n.isMember(n.now())
	s.Poison = n.Entry.Proxy.PoisonStatus()
	s.Reach = n.Entry.Proxy.ReachStatus()
	s.FairShares = n.Entry.Proxy.FairShares()
	s.Handovers = n.Entry.Proxy.HandoverStatus()
	n.mu.Lock()
	defer n.mu.Unlock()
	s.Store = n.view.StoreStatus()
	if c := n.view.Config(); c != nil && n.synced.Load() {
		s.ConfigVersion = c.Version
		s.Upstreams, s.Draining = n.view.UpstreamCounts(n.now())
	}
	return s
}

// Dump is the state on which the node's decisions depend, for debugging.
type Dump struct {
	Status   Status                           `json:"status"`
	Members  []model.Member                   `json:"members"`
	Services map[string]forward.ServiceStatus `json:"services"`
	Metrics  map[string]entry.ServiceMetrics  `json:"metrics"`
	// Refusals are the latest requests that may run only once and of which an attempt counted as not
	// run.
	Refusals []forward.Refusal `json:"refusals,omitempty"`
	// OrganisationLimits are the limits of the organisations that have requests.
	OrganisationLimits []quota.Status `json:"limits,omitempty"`
	// UpstreamLimits are the limits that upstreams announce.
	UpstreamLimits []balance.LimitStatus `json:"rates,omitempty"`
}

// Dump returns the node's state.
func (n *Node) Dump() Dump {
	n.refresh()
	return Dump{n.Status(), *n.members.Load(), n.Entry.Proxy.Dump(), n.Entry.Metrics(), n.Entry.Proxy.Refusals(), n.OrganisationLimits(), n.UpstreamLimits()}
}

// maxOrganisationLimits is the largest number of organisations in metrics and dumps.
const maxOrganisationLimits = 1000

// OrganisationLimits returns the limits of the organisations that have requests, at most
// maxOrganisationLimits of them.
func (n *Node) OrganisationLimits() []quota.Status {
	return n.Entry.Proxy.OrganisationLimits().Status(maxOrganisationLimits, n.now())
}

// maxUpstreamLimits is the largest number of limited upstreams of each service in
// metrics and dumps.
const maxUpstreamLimits = 1000

// UpstreamLimits returns the limits that upstreams announce, at most
// maxUpstreamLimits for each service.
func (n *Node) UpstreamLimits() []balance.LimitStatus {
	return n.Entry.Proxy.UpstreamLimits(maxUpstreamLimits)
}
