// Package node serves the look-ups and forwards the requests of an instance in
// one process. It is meant for instances so small that the overhead of separate
// processes would outweigh their benefit.
//
// Changes of state come in through Apply. Each change is compiled into a
// snapshot, which the proxy and the look-ups use from then on.
package node

import (
	"context"
	"net/http"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/entry"
	"github.com/loomkeel/loomkeel/internal/forward"
	"github.com/loomkeel/loomkeel/internal/inflight"
	"github.com/loomkeel/loomkeel/internal/logs"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/poison"
	"github.com/loomkeel/loomkeel/internal/quota"
	"github.com/loomkeel/loomkeel/internal/reach"
	"github.com/loomkeel/loomkeel/internal/relay"
	"github.com/loomkeel/loomkeel/internal/view"
)

const (
	// expireInterval is the time between checks for lapsed records.
	expireInterval = 250 * time.Millisecond
	// drainPollInterval is the time between checks of a stopping node for requests in
	// flight.
	drainPollInterval = 50 * time.Millisecond
	// linger is how long a stopping node still accepts requests. Callers keep look-up
	// answers with this node for about as long.
	linger = 3 * time.Second
	// idleMaxInFlight is the number of requests in flight up to which a node counts as
	// idle in reports. Nodes that look-ups do not return still receive single requests,
	// from callers with an old look-up answer and from checks of which configuration is in
	// force. For so few requests it makes no difference to other nodes whether the report
	// arrives at once or half a second later.
	idleMaxInFlight = 2
	// quietAfter is the time without a request and without a load report of another node after
	// which a node puts off compiling snapshots until the next one. In a large fleet look-ups
	// return few of the nodes, and upstreams change every second.
	quietAfter = 2 * time.Second
	// killMargin is how long before the end of the grace period, at which the process is
	// killed, a stopping node ends by itself.
	killMargin = 500 * time.Millisecond
)

// Node is the state of one process: a view of the fleet, and the entry that forwards
// requests by its snapshots. It is safe for concurrent use.
type Node struct {
	// Entry forwards the requests.
	Entry *entry.Entry
	// UnknownSenders holds the senders of reports that are not among the members.
	UnknownSenders *relay.UnknownSenders
	self           model.Member
	now            func() time.Time
	// syncNow is forward.Options.SyncNow: it corrects the clock for a suspension of the
	// machine and then returns the current time.
	syncNow func() time.Time

	// mu guards the state of view, and orders the updates of members and of the proxy.
	mu      sync.Mutex
	view    *view.View
	members atomic.Pointer[[]model.Member]
	fleet   fleetCache
	// absent returns the nodes that are stopping, isolated or silent.
	absent atomic.Pointer[func(now time.Time) map[string]bool]
	// synced is set by MarkSynced.
	synced atomic.Bool
	// routes is the table of the configuration; nil until the node is synced and there is one.
	routes atomic.Pointer[model.Routes]
	// outdated is set while the view has changed since the snapshot in force was compiled.
	outdated atomic.Bool
	// changedSince is when outdated was last set. mu guards it.
	changedSince time.Time
	// activeAt is when the snapshot was last needed, in Unix nanoseconds.
	activeAt atomic.Int64
	// stopping is set when Stop begins.
	stopping atomic.Bool
}

// New returns a Node that rejects all requests until MarkSynced is called and a
// configuration is known. proxy.Now must be set.
func New(opt view.Options, proxy forward.Options) *Node {
	n := &Node{UnknownSenders: relay.NewUnknownSenders(), self: opt.Self, now: proxy.Now, syncNow: proxy.SyncNow, view: view.New(opt)}
	if n.syncNow == nil {
		n.syncNow = n.now
	}
	n.members.Store(new([]model.Member))
	n.SetAbsent(func(time.Time) map[string]bool { return nil })
	proxy.Peers, proxy.IsPeer = n.peers, n.isPeer
	n.Entry = entry.New(proxy)
	return n
}

// Apply calls change with the node's view and the current time, and passes the resulting
// snapshot to the proxy. change is called with the lock of the Node held.
func (n *Node) Apply(change func(v *view.View, now time.Time)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n.view, n.now())
	n.publish()
}

// sameSlice reports whether two slices share their memory. The pointer to the members is
// replaced only with a new list, because fleetCache keeps the fleet until the pointer
// changes.
func sameSlice(a, b []model.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// MarkSynced records that the whole state has been read once, and passes the first
// snapshot to the proxy.
func (n *Node) MarkSynced() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.synced.Store(true)
	n.publish()
	klog.InfoS("node ready", "members", len(*n.members.Load()))
}

// Ready reports whether the node accepts requests and look-ups should return it to callers.
func (n *Node) Ready() bool {
	return n.routes.Load() != nil && !n.stopping.Load()
}

// Members returns the live nodes, without the local node once it is stopping. The list is
// shared and must not be modified.
func (n *Node) Members() []model.Member {
	all := *n.members.Load()
	if !n.stopping.Load() {
		return all
	}
	return n.view.WithoutSelf(all)
}

// ServingRegions returns the regions that may serve requests for a host; empty means all.
func (n *Node) ServingRegions(host string) []string {
	routes := n.routes.Load()
	if routes == nil {
		return nil
	}
	return routes.ServingRegions(host)
}

// SetAbsent sets the function that returns the nodes that are stopping, isolated or silent. Their
// registrations may remain during an outage of the key-value store.
func (n *Node) SetAbsent(absent func(now time.Time) map[string]bool) { n.absent.Store(&absent) }

// LookupMembers returns the nodes that look-ups return to callers: the live ones except absent
// nodes, and except this node while it is isolated. If that leaves none, it returns all: callers
// that reach an isolated node are served again as soon as it returns. It returns none before
// MarkSynced: until then the list of members may hold only the node itself, and the caller may be
// in another region. The result may be shared and must not be modified.
func (n *Node) LookupMembers() []model.Member {
	if !n.synced.Load() {
		return nil
	}
	members := n.Members()
	absent := (*n.absent.Load())(n.now())
	isolated := n.Entry.Proxy.Reach().Isolated()
	if len(absent) == 0 && !isolated {
		// Without absent members no copy is needed; copying the whole fleet for each look-up
		// would be expensive.
		return members
	}
	present := slices.DeleteFunc(slices.Clone(members), func(m model.Member) bool {
		return absent[m.ID] || isolated && m.ID == n.self.ID
	})
	if len(present) == 0 {
		return members
	}
	return present
}

// peers returns the nodes to which requests may be handed over.
func (n *Node) peers() forward.Peers {
	absent := (*n.absent.Load())(n.now())
	var out forward.Peers
	for _, m := range *n.members.Load() {
		if m.Region == n.self.Region {
			out.InRegion++
		}
		if m.ID != n.self.ID && m.Live() && !absent[m.ID] {
			out.Usable = append(out.Usable, m)
		}
	}
	return out
}

// isPeer reports whether a node has an IP address.
func (n *Node) isPeer(id string, ip netip.Addr) bool {
	for _, m := range *n.members.Load() {
		if m.ID == id {
			addr, err := netip.ParseAddrPort(m.Agent)
			return err == nil && addr.Addr().Unmap() == ip
		}
	}
	return false
}

// RunExpiry periodically removes records that lapsed during an outage of the key-value store
// or soon after it and were not written again within the grace period, and state of the proxy
// that has expired. It returns memory to the system once the node has become quiet. It returns
// when ctx ends.
func (n *Node) RunExpiry(ctx context.Context) {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	trimmed := false
	for {
		select {
		case <-tick.C:
			n.expireLapsed()
			quiet := n.Ready() && n.quiet()
			if quiet && !trimmed {
				// Most of the heap is garbage of the start, or of the requests until now.
				debug.FreeOSMemory()
			}
			trimmed = quiet
		case <-ctx.Done():
			return
		}
	}
}

// expireLapsed does one round of RunExpiry.
func (n *Node) expireLapsed() {
	n.Entry.Proxy.Tick()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view.AwaitsAdoption() {
		n.publish()
	}
	retained := n.view.Retained()
	if !n.view.ExpireLapsed(n.now()) {
		return
	}
	n.publish()
	klog.InfoS("removed lapsed records after the grace period", "count", len(retained), "first", logs.TruncateIDs(retained))
}

// Handler returns the handler of callers' requests. While the node is stopping, its
// responses ask callers to close their connections.
func (n *Node) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		n.activate()
		n.Entry.Proxy.ServeHTTP(w, r)
	})
}

// Stop performs a planned stop within the time grace. Look-ups no longer return the node,
// and limited upstreams get no more requests from it. Requests are still
// accepted for the time linger, or half of grace if that is shorter, and later ones are
// rejected as not run. Stop returns when the last request has ended, at the latest
// killMargin before the end of grace.
func (n *Node) Stop(grace time.Duration) {
	klog.InfoS("stopping", "grace", grace)
	began := n.now()
	n.stopping.Store(true)
	n.Entry.Proxy.RetireAsLimitSender()
	time.Sleep(min(linger, grace/2))
	n.Entry.Proxy.Stop()
	for n.Entry.Proxy.InFlight() > 0 && n.now().Sub(began) < grace-killMargin {
		time.Sleep(drainPollInterval)
	}
	klog.InfoS("stopped", "in_flight", n.Entry.Proxy.InFlight(), "took", n.now().Sub(began))
}

// Status is a summary of the node's state, for metrics.
type Status struct {
	Ready         bool   `json:"ready"`
	Stopping      bool   `json:"stopping"`
	ConfigVersion uint64 `json:"config_version"`
	Members       int    `json:"members"`
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
	// Store is the state of the platform's key-value store as the node observes it.
	Store view.StoreStatus `json:"service"`
}

// Status returns a summary of the node's state. It needs no snapshot: metrics are read often.
func (n *Node) Status() Status {
	s := Status{
		Ready: n.Ready(), Stopping: n.stopping.Load(), Members: len(*n.members.Load()), InFlight: n.Entry.Proxy.InFlight(),
	}
	s.Poison = n.Entry.Proxy.PoisonStatus()
	s.Reach = n.Entry.Proxy.ReachStatus()
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
	// OrganisationLimits are the limits of the organisations that have requests.
	OrganisationLimits []quota.Status `json:"limits,omitempty"`
	// UpstreamLimits are the limits that upstreams announce.
	UpstreamLimits []balance.LimitStatus `json:"rates,omitempty"`
}

// Dump returns the node's state.
func (n *Node) Dump() Dump {
	n.refresh()
	return Dump{n.Status(), *n.members.Load(), n.Entry.Proxy.Dump(), n.Entry.Metrics(), n.OrganisationLimits(), n.UpstreamLimits()}
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

// Rollouts returns the rollouts that operators ordered.
func (n *Node) Rollouts() []view.Rollout {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Rollouts()
}

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
		out = append(out, inflight.Count{Upstream: upstream, Requests: l.Requests, Failed: l.Failed, Total: l.Total, BackingOff: l.BackingOff, Draining: l.Draining})
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
		load.Loads[c.Upstream] = balance.Load{
			Requests: c.Requests, Outcomes: balance.Outcomes{Failed: c.Failed, Total: c.Total}, BackingOff: c.BackingOff, Draining: c.Draining,
		}
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

// Self returns the local node as the member that it registers. Its incarnation is the time
// now in Unix milliseconds.
func Self(id, region, domain, entryAddr, peerAddr string, now time.Time) model.Member {
	return model.Member{
		ID: id, Region: region, Domain: domain, Entry: entryAddr, Agent: peerAddr,
		State: membership.Alive, Incarnation: uint64(now.UnixMilli()),
	}
}
