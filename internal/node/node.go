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
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/entry"
	"github.com/loomkeel/loomkeel/internal/forward"
	"github.com/loomkeel/loomkeel/internal/logs"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/relay"
	"github.com/loomkeel/loomkeel/internal/view"
)

const (
	// expireInterval is the time between checks for lapsed records.
	expireInterval = 250 * time.Millisecond
	// drainPollInterval is the time between checks of a stopping node for requests in
	// flight.
	drainPollInterval = 10 * time.Millisecond
	// linger is how long a stopping node still accepts requests. Callers keep look-up
	// answers with this node for about as long.
	linger = 3 * time.Second
	// quietAfter is the time without a request and without a load report of another node after
	// which a node puts off compiling snapshots until the next one. In a large fleet look-ups
	// return few of the nodes, and upstreams change every second.
	quietAfter = 2 * time.Second
	// killMargin is how long before the end of the grace period, at which the process is
	// killed, a stopping node ends the requests that are left.
	killMargin = 500 * time.Millisecond
	// replyTime limits the wait for the answers to these, and drainTimeout the wait for answers that
	// are complete and wait for their turn on their connections.
	replyTime    = 100 * time.Millisecond
	drainTimeout = 200 * time.Millisecond
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
	// registration returns the period in which the node is registered, countedByMost whether most
	// other nodes report to it. checkMemberAt is when to ask them again, in Unix nanoseconds.
	registration  atomic.Pointer[func() model.Registration]
	countedByMost atomic.Pointer[func(now time.Time) bool]
	checkMemberAt atomic.Int64
	// synced is set by MarkSynced.
	synced atomic.Bool
	// routes is the table of the configuration; nil until the node is synced and there is one.
	routes atomic.Pointer[model.Routes]
	// outdated is set while a change of the view waits for the next request to be compiled, until the
	// snapshot with it is in force.
	outdated atomic.Bool
	// changedSince is when the first change came that the snapshot in force lacks. mu guards it.
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
	n.SetRegistration(func() model.Registration { return model.Registration{} })
	n.SetCountedByMost(func(time.Time) bool { return true })
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
	n.updateMember(n.now())
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

// Drainer is the server of callers' requests.
type Drainer interface {
	// BeginDrain makes the server begin no request behind one that is not answered yet.
	BeginDrain()
	// Drain waits until all answers have been sent, or until ctx ends.
	Drain(ctx context.Context) error
}

// Stop performs a planned stop within the time grace. Look-ups no longer return the node,
// and limited and cold upstreams get no more requests from it. Requests are still
// accepted for the time linger, or half of grace if that is shorter, unless their answers are not expected
// before the end; those and later ones are rejected as not run. Requests that callers have sent behind unanswered ones stay unread: the node may
// end before it could answer them, and callers may repeat what was not passed on. killMargin before the
// end of grace the requests that are left are ended and answered. Stop returns when callers has sent
// all answers, and before the end of grace.
func (n *Node) Stop(grace time.Duration, callers Drainer) {
	klog.InfoS("stopping", "grace", grace)
	began := n.now()
	n.stopping.Store(true)
	callers.BeginDrain()
	n.Entry.Proxy.StopIn(grace - killMargin)
	n.updateMember(began)
	time.Sleep(min(linger, grace/2))
	n.Entry.Proxy.Stop()
	end := began.Add(grace - killMargin)
	n.waitForRequests(end)
	expired := n.Entry.Proxy.InFlight()
	n.Entry.Proxy.ExpireRequests()
	n.waitForRequests(end.Add(replyTime))
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := callers.Drain(ctx)
	klog.InfoS("stopped", "expired", expired, "in_flight", n.Entry.Proxy.InFlight(), "took", n.now().Sub(began), "err", err)
}

// waitForRequests waits until no request is in flight, at most until a time.
func (n *Node) waitForRequests(until time.Time) {
	for n.Entry.Proxy.InFlight() > 0 && n.now().Before(until) {
		time.Sleep(drainPollInterval)
	}
}

// Rollouts returns the rollouts that operators ordered.
func (n *Node) Rollouts() []view.Rollout {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Rollouts()
}
