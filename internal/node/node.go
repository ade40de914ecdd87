// Package node joins the look-ups and the requests of an instance in one
// process, for instances so small that a process for each would cost more than
// it gives.
//
// What the node knows comes through Apply; every change is compiled into a
// snapshot, which the carrier and the look-ups then decide by.
package node

import (
	"context"
	"net/http"
	"net/netip"
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
	"github.com/loomkeel/loomkeel/internal/relay"
	"github.com/loomkeel/loomkeel/internal/view"
)

const (
	// tickEvery is the time between looks for entries that have lapsed.
	tickEvery = 250 * time.Millisecond
	// pollEvery is how often a stopping node looks whether all requests have ended.
	pollEvery = 50 * time.Millisecond
	// linger is how long a stopping node still takes requests: callers hold
	// look-up answers that name it for about as long.
	linger = 3 * time.Second
	// lightLoad is up to how many requests at a time a node counts as idle in reports.
	// Nodes that look-ups do not name still get one now and then, by callers whose answer
	// is old and by checks of the configuration in force. Others decide alike whether they
	// hear of so few at once or half a second later.
	lightLoad = 2
	// killMargin is how long before the kill a stopping node ends by itself.
	killMargin = 500 * time.Millisecond
)

// Node is the state of one process. It is safe for concurrent use.
type Node struct {
	Entry *entry.Entry
	// Strangers are entries that report to this one without being known.
	Strangers *relay.UnknownSenders
	now       func() time.Time
	// check is now after a look whether the machine was suspended meanwhile.
	check func() time.Time

	mu      sync.Mutex
	view    *view.View
	members atomic.Pointer[[]model.Member]
	fleet   fleetCache
	synced  atomic.Bool
	// stopping is set by the signal to stop.
	stopping atomic.Bool
}

// New returns a Node that refuses everything until it is synced.
func New(opt view.Options, carrier forward.Options) *Node {
	n := &Node{Entry: entry.New(carrier), Strangers: relay.NewUnknownSenders(), now: carrier.Now, check: carrier.SyncNow, view: view.New(opt)}
	if n.check == nil {
		n.check = n.now
	}
	n.members.Store(new([]model.Member))
	return n
}

// Apply changes what the node knows and brings the carrier up to date.
func (n *Node) Apply(change func(v *view.View, now time.Time)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n.view, n.now())
	n.publish()
}

// publish compiles the view. The caller holds the lock.
func (n *Node) publish() {
	if members := n.view.Members(); !sameList(members, *n.members.Load()) {
		n.members.Store(&members)
	}
	if !n.synced.Load() {
		return
	}
	if s := n.view.Snapshot(); s != nil {
		n.Entry.Carrier.Update(s)
	}
}

// sameList reports whether two lists are one in memory. Whoever works from the members
// keeps what was made of them until there is a new list.
func sameList(a, b []model.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Synced records that all that there is to know has been read once.
func (n *Node) Synced() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.synced.Store(true)
	n.publish()
	klog.InfoS("node ready", "members", len(*n.members.Load()))
}

// Ready reports whether the node takes requests and is to be named to callers.
func (n *Node) Ready() bool {
	return n.Entry.Carrier.Snapshot() != nil && !n.stopping.Load()
}

// Members returns the live nodes, the own one only while it is ready.
func (n *Node) Members() []model.Member {
	all := *n.members.Load()
	if !n.stopping.Load() {
		return all
	}
	return n.view.WithoutSelf(all)
}

// Homes returns the regions that may serve the requests of a host; empty means all.
func (n *Node) Homes(host string) []string {
	snap := n.Entry.Carrier.Snapshot()
	if snap == nil {
		return nil
	}
	return snap.Routes.ServingRegions(host)
}

// Named returns the nodes to name to callers: the live ones but for those that are
// known to be absent, whose registrations may outlive them while the platform's service
// is away. A node that has not read everything yet names none: it may know only itself, and
// its caller may have come from another region.
func (n *Node) Named(absent map[string]bool) []model.Member {
	if !n.synced.Load() {
		return nil
	}
	members := n.Members()
	if len(absent) == 0 {
		// The usual case must not copy the whole fleet for each look-up.
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), func(m model.Member) bool { return absent[m.ID] })
}

// Tick drops lapsed entries until ctx ends.
func (n *Node) Tick(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			n.dropLapsed()
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) dropLapsed() {
	n.Entry.Carrier.Tick()
	n.mu.Lock()
	defer n.mu.Unlock()
	kept := n.view.Retained()
	if !n.view.ExpireLapsed(n.now()) {
		return
	}
	n.publish()
	klog.InfoS("entries did not come back, forgotten", "count", len(kept), "first", logs.Few(kept))
}

// Handler carries requests. While the node stops it asks callers to close their
// connections.
func (n *Node) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		n.Entry.Carrier.ServeHTTP(w, r)
	})
}

// Stop is the planned stop: the node is no longer named to callers, takes
// requests for a little longer, refuses further ones as not run, and returns
// when the last request has ended, or shortly before the kill.
func (n *Node) Stop(grace time.Duration) {
	klog.InfoS("stopping", "grace", grace)
	began := n.now()
	n.stopping.Store(true)
	n.Entry.Carrier.StopRateLimited()
	time.Sleep(min(linger, grace/2))
	n.Entry.Carrier.Stop()
	for n.Entry.Carrier.InFlight() > 0 && n.now().Sub(began) < grace-killMargin {
		time.Sleep(pollEvery)
	}
	klog.InfoS("stopped", "in_flight", n.Entry.Carrier.InFlight(), "took", n.now().Sub(began))
}

// Status is what the node knows, for metrics.
type Status struct {
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	Version  uint64 `json:"config_version"`
	Members  int    `json:"members"`
	// Upstreams is how many each service has, Leaving how many of them get no new
	// work.
	Upstreams map[string]int `json:"upstreams"`
	Leaving   map[string]int `json:"leaving"`
	InFlight  int            `json:"in_flight"`
	// Poison is how many requests under which upstreams ended the node knows.
	Poison poison.Status `json:"poison"`
	// Service is what the node believes of the platform's service.
	Service view.StoreStatus `json:"service"`
}

// Status returns what the node knows in short.
func (n *Node) Status() Status {
	s := Status{
		Ready: n.Ready(), Stopping: n.stopping.Load(), Members: len(*n.members.Load()), InFlight: n.Entry.Carrier.InFlight(),
		Upstreams: make(map[string]int), Leaving: make(map[string]int),
	}
	s.Poison = n.Entry.Carrier.PoisonStatus()
	n.mu.Lock()
	s.Service = n.view.StoreStatus()
	n.mu.Unlock()
	snap := n.Entry.Carrier.Snapshot()
	if snap == nil {
		return s
	}
	s.Version = snap.Revision
	now := n.now()
	for name, svc := range snap.Services {
		s.Upstreams[name] = len(svc.Upstreams)
		for i := range svc.Upstreams {
			if snap.Draining(&svc.Upstreams[i], now) {
				s.Leaving[name]++
			}
		}
	}
	return s
}

// Dump is everything that the node decides by.
type Dump struct {
	Status   Status                           `json:"status"`
	Members  []model.Member                   `json:"members"`
	Services map[string]forward.ServiceStatus `json:"services"`
	Metrics  map[string]entry.ServiceMetrics  `json:"metrics"`
	// Limits are those of the organisations that have requests.
	Limits []quota.Status `json:"limits,omitempty"`
	// Rates are the limits that upstreams name.
	Rates []balance.LimitStatus `json:"rates,omitempty"`
}

// Dump returns the node's state.
func (n *Node) Dump() Dump {
	return Dump{n.Status(), *n.members.Load(), n.Entry.Carrier.Dump(), n.Entry.Metrics(), n.Limits(), n.Rates()}
}

// maxLimits bounds the organisations in metrics and dumps.
const maxLimits = 1000

// Limits returns the limits of the organisations that have requests.
func (n *Node) Limits() []quota.Status {
	return n.Entry.Carrier.OrganisationLimits().Status(maxLimits, n.now())
}

// maxRates bounds the upstreams with limits of each service in metrics and dumps.
const maxRates = 1000

// Rates returns the limits that upstreams name.
func (n *Node) Rates() []balance.LimitStatus { return n.Entry.Carrier.Rates(maxRates) }

// Reports sets up the exchange of reports with the other nodes.
func (n *Node) Reports(self model.Member) inflight.Options {
	return inflight.Options{
		Address:         self.Agent,
		Entry:           self.ID,
		Incarnation:     self.Incarnation,
		Fleet:           func() inflight.Fleet { return n.fleet.of(self, n.members.Load()) },
		Counts:          n.counts,
		MaxConnIdle:     n.doubt,
		Claims:          n.Entry.Carrier.PoisonClaims,
		Limits:          n.Entry.Carrier.OrganisationLimits(),
		Rates:           n.Entry.Carrier,
		Leaving:         n.stopping.Load,
		Busy:            n.busy,
		OnReport:        n.heard,
		Now:             n.check,
		OnUnknownSender: func(from netip.AddrPort) { n.Strangers.RecordReport(from.String(), n.now()) },
	}
}

// busy reports whether others have to hear of the node's requests at once.
func (n *Node) busy() bool {
	c := n.Entry.Carrier
	return c.InFlight() > lightLoad || c.OrganisationLimits().InUse(n.now()) || len(c.LimitSenders()) > 0
}

func (n *Node) counts(whose balance.EntryFilter) []inflight.Count {
	var out []inflight.Count
	n.Entry.Carrier.VisitLoads(whose, func(upstream uint32, l balance.Load) {
		out = append(out, inflight.Count{Upstream: upstream, Requests: l.Requests, Failed: l.Failed, Answered: l.Total})
	})
	return out
}

func (n *Node) heard(peer string, r *inflight.Report) {
	n.Entry.Carrier.MergePoisonClaims(r.Claims)
	if r.Scope == inflight.ScopeNone {
		return
	}
	load := balance.PeerLoad{Peer: peer, First: r.First, Last: r.Last, Loads: make(map[uint32]balance.Load, len(r.Counts))}
	for _, c := range r.Counts {
		load.Loads[c.Upstream] = balance.Load{Requests: c.Requests, Outcomes: balance.Outcomes{Failed: c.Failed, Total: c.Answered}}
	}
	n.Entry.Carrier.MergePeerLoad(load)
	if r.MaxConnIdleLeft > 0 {
		n.Entry.Carrier.MergeReuseLimit(forward.ReuseLimit{MaxIdle: r.MaxConnIdle, Until: n.now().Add(r.MaxConnIdleLeft)})
	}
}

// doubt returns what the node knows of upstreams that forget connections, and for how
// long that holds.
func (n *Node) doubt() (rest, left time.Duration) {
	d := n.Entry.Carrier.ReuseLimit()
	if d.Until.IsZero() {
		return 0, 0
	}
	return d.MaxIdle, d.Until.Sub(n.now())
}

// Self returns the member that a node announces.
func Self(id, region, domain, entryAddr, peerAddr string, now time.Time) model.Member {
	return model.Member{
		ID: id, Region: region, Domain: domain, Entry: entryAddr, Agent: peerAddr,
		State: membership.Alive, Incarnation: uint64(now.UnixMilli()),
	}
}
