// Package forward carries requests from callers to upstreams.
//
// A Carrier parses a request, has it admitted, picks an upstream, sends it, and
// by the verdict of a failed attempt decides on another. It streams bodies both
// ways in bounded memory. Every answer that it makes itself says whether the
// request may have run.
package forward

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/admit"
	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/logs"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/poison"
	"github.com/loomkeel/loomkeel/internal/quota"
	"github.com/loomkeel/loomkeel/internal/share"
	"github.com/loomkeel/loomkeel/internal/shift"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// Options sets up a Carrier.
type Options struct {
	// Self is the id of the entry's instance.
	Self string
	// Domain is the failure domain of the entry's instance.
	Domain string
	// Protocol is how callers and upstreams speak; nil means Native.
	Protocol Protocol
	// MaxInFlight is how many requests may be in the entry at one time.
	MaxInFlight int
	// MaxBody is the largest request body in bytes; 0 means no bound.
	MaxBody int64
	// TLS is for upstreams; nil means plain HTTP.
	TLS *tls.Config
	// Transport replaces the Pool that New makes; nil means that one.
	// Without connections of its own kind the Carrier takes every attempt that
	// got a connection for one that may have run.
	Transport http.RoundTripper
	// DialTimeout bounds the wait for a connection to an upstream; 0 means the
	// usual bound.
	DialTimeout time.Duration
	// Now is the clock, SyncNow the same after it was looked whether the machine was
	// suspended meanwhile; nil means Now.
	Now, SyncNow func() time.Time
	// Rand returns the source for the random choices of one decision; nil means
	// one seeded from the process's own.
	Rand func() *rand.Rand
	// CapShares holds the own shares of the caps, by the clock BootClock.
	CapShares *share.Limiter
	BootClock func() int64
	// NewID makes request ids.
	NewID func() string
	// Observe is called at the end of each request; it must be quick.
	Observe func(Outcome)
}

// Outcome is how a request ended, for metrics and logs.
type Outcome struct {
	Service string
	ID      string
	// Organisation is the name of whose request it was; empty if it had no key.
	Organisation string
	// Route is the name of the request's route, Objective the latency within which
	// its answer has its full worth; empty if it has no route.
	Route     string
	Objective time.Duration
	// Version is that of the configuration that the request was served by.
	Version uint64
	// Choice is the last upstream that was picked.
	Choice balance.Choice
	// Response is what its answer said.
	Response ResponseInfo
	Status   int
	Verdict  verdict.Verdict
	Reason   string
	// Detail explains an answer that loomkeel itself made.
	Detail   string
	Duration time.Duration
	Attempts int
}

// Proxy is an http.Handler. It is safe for concurrent use.
type Proxy struct {
	opt       Options
	now       func() time.Time
	scheme    string
	transport http.RoundTripper
	snap      atomic.Pointer[model.Snapshot]
	inFlight  atomic.Int64
	stopping  atomic.Bool
	mu        sync.RWMutex
	lanes     map[string]*lane
	splits    *splits
	poison    *poison.Tracker
	limits    *quota.Limiter
	deadlines *deadlines
	// rateNews has a value when other entries are to hear of the limits of upstreams at once.
	rateNews chan struct{}
	// rateLines bounds the lines about such limits.
	rateLines *logs.Limiter
}

// lane is the state of one service.
type lane struct {
	group  *balance.Balancer
	queue  admit.Queue
	budget *balance.RetryBudget
	// sheds limits how often requests go on after a shed.
	sheds *balance.RetryBudget
	shift *shift.Splitter
}

// New returns a Carrier that refuses everything until its first Update.
func New(opt Options) *Proxy {
	if opt.Protocol == nil {
		opt.Protocol = Native{}
	}
	if opt.Transport == nil {
		opt.Transport = NewPool(PoolOptions{TLS: opt.TLS, DialTimeout: opt.DialTimeout, Now: opt.Now, Matches: opt.Protocol.Matches})
	}
	if opt.SyncNow == nil {
		opt.SyncNow = opt.Now
	}
	if opt.Rand == nil {
		opt.Rand = newRand
	}
	c := &Proxy{opt: opt, now: opt.Now, scheme: "http", transport: opt.Transport, lanes: make(map[string]*lane), splits: newSplits(), poison: poison.NewTracker(opt.Self), limits: quota.NewLimiter(), deadlines: newDeadlines(), rateNews: make(chan struct{}, 1),
		rateLines: logs.NewLimiter(rateLinesPerSecond, rateLineBurst)}
	if opt.TLS != nil {
		c.scheme = "https"
	}
	return c
}

// retryAfter is the advice to a refused caller whose request would have gone to
// a region.
func (l *lane) retryAfter(region string) time.Duration {
	return admit.RetryAfter(l.queue.Len(), l.group.Latency(region))
}

// Update installs a newer snapshot.
func (c *Proxy) Update(s *model.Snapshot) {
	now := c.now()
	for name, svc := range s.Services {
		l := c.lane(name)
		restarted := l.group.Update(balance.ServiceState{
			Service: svc, Draining: s.Draining, Subset: c.owned(s, svc),
			Self: c.opt.Self, Region: s.Region, Domain: c.opt.Domain, Entries: entriesOf(s),
		}, now)
		c.forget(restarted)
		if svc.Routed {
			l.budget.SetBurst(svc.RetryBurst)
		}
		l.queue.Wake()
	}
	c.limits.Update(s.Organisations, s.LimitSlack, now)
	c.snap.Store(s)
}

// entriesOf returns the entries that carry requests to the upstreams.
func entriesOf(s *model.Snapshot) []model.Member {
	if s.Advertised != nil {
		return s.Advertised
	}
	return s.LocalEntries()
}

// owned returns the upstreams of a service that this entry uses first. Requests of routes
// go by their objects instead.
func (c *Proxy) owned(s *model.Snapshot, svc *model.Service) map[string]bool {
	if svc.Routed {
		return nil
	}
	var entries []string
	for _, m := range s.LocalEntries() {
		entries = append(entries, m.ID)
	}
	return balance.Subset(svc.Upstreams, s.Region, c.opt.Self, entries)
}

// forgetter is a transport that keeps connections which it can give up.
type forgetter interface{ CloseIdle(addr string) }

// forget gives up the kept connections to addresses whose upstreams have started again.
func (c *Proxy) forget(addresses []string) {
	f, ok := c.transport.(forgetter)
	if !ok {
		return
	}
	for _, addr := range addresses {
		klog.InfoS("upstream has started again, connections given up", "address", addr)
		f.CloseIdle(addr)
	}
}

// Snapshot returns the snapshot in force, or nil before the first.
func (c *Proxy) Snapshot() *model.Snapshot { return c.snap.Load() }

// Stop makes the Carrier refuse new requests. Those in flight go on.
func (c *Proxy) Stop() { c.stopping.Store(true) }

// InFlight returns the number of requests in the entry.
func (c *Proxy) InFlight() int { return int(c.inFlight.Load()) }

func (c *Proxy) lane(service string) *lane {
	c.mu.RLock()
	l := c.lanes[service]
	c.mu.RUnlock()
	if l != nil {
		return l
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if l = c.lanes[service]; l == nil {
		l = &lane{group: balance.NewBalancer(), budget: balance.NewRetryBudget(retryBurst), sheds: balance.NewRetryBudget(shedBurst), shift: shift.NewSplitter()}
		l.group.OnLimitUpdate(c.notifyRates)
		c.lanes[service] = l
	}
	return l
}

// ServeHTTP implements http.Handler.
func (c *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	start := c.opt.SyncNow()
	out := Outcome{}
	defer func() {
		out.Duration = c.now().Sub(start)
		c.opt.Observe(out)
	}()
	snap := c.snap.Load()
	if snap == nil {
		c.refuse(w, &out, c.leaving(snap))
		return
	}
	ask, fault := c.opt.Protocol.ParseRequest(r, snap)
	if ask.ID == "" {
		ask.ID = c.opt.NewID()
	}
	out.ID = ask.ID
	switch {
	case c.stopping.Load():
		c.refuse(w, &out, c.leaving(snap))
	case fault != nil:
		c.refuse(w, &out, fault.refusal())
	default:
		c.carry(w, r, snap, ask, &out)
	}
}

// carry serves a request that is understood.
func (c *Proxy) carry(w http.ResponseWriter, r *http.Request, snap *model.Snapshot, ask RequestInfo, out *Outcome) {
	svc := c.serviceOf(snap, &ask)
	out.Service, out.Version = ask.Service, snap.Revision
	if ask.Organisation != nil {
		out.Organisation = ask.Organisation.Name
	}
	if ask.Route != nil {
		out.Route, out.Objective = ask.Route.Name, ask.Route.Objective
	}
	if svc == nil {
		// A route may name a service that has no settings and no upstream yet.
		c.refuse(w, out, refusalFor(verdict.New(verdict.NotRun, reasonNoUpstream, nil).WithRetryAfter(stopRetry), verdict.NotRun))
		return
	}
	cl := newCall(r, ask, svc, c.now())
	cl.version = snap.Revision
	if limit := c.maxBody(snap); limit > 0 {
		if r.ContentLength > limit {
			c.refuse(w, out, &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge, verdict: verdict.NotRun})
			return
		}
		cl.body.src = http.MaxBytesReader(w, r.Body, limit)
	}
	if f := c.spendLimit(cl); f != nil {
		c.refuse(w, out, f)
		return
	}
	defer c.refundLimit(cl)
	ctx := r.Context()
	if ask.Route != nil && !ask.Safe {
		// An unsafe request that is under way goes on without its caller, so that
		// it ends in a known state at its upstream.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, release := c.deadlines.with(ctx, c.now(), cl.deadline)
	defer release()
	defer cl.body.interrupt(ctx, w)()
	if refused := c.begin(ctx, cl); refused != nil {
		c.refuse(w, out, refusalFor(refused, verdict.NotRun))
		return
	}
	defer c.end(cl)
	c.serve(ctx, w, r, snap, cl, out)
}

// serviceOf returns the service that takes a request, or nil.
func (c *Proxy) serviceOf(snap *model.Snapshot, ask *RequestInfo) *model.Service {
	if ask.Route != nil {
		ask.Service = c.splits.choose(ask.Route, ask.Object)
	}
	return snap.Services[ask.Service]
}

func (c *Proxy) maxBody(snap *model.Snapshot) int64 {
	if snap.Limits.MaxBody > 0 {
		return snap.Limits.MaxBody
	}
	return c.opt.MaxBody
}

func (c *Proxy) refuse(w http.ResponseWriter, out *Outcome, f *refusal) {
	out.Status, out.Verdict, out.Reason, out.Detail = f.status, f.verdict, f.reason, f.detail
	f.write(w, c.opt.Protocol, out.ID)
}

// stopRetry is the advice to a caller of a stopping entry that knows no other.
const stopRetry = time.Second

// leaving is the answer of an entry that stops or has no snapshot yet.
func (c *Proxy) leaving(snap *model.Snapshot) *refusal {
	f := &refusal{status: http.StatusServiceUnavailable, reason: "entry-leaving", verdict: verdict.NotRun, retryAfter: stopRetry}
	if snap == nil {
		f.reason = "entry-starting"
		return f
	}
	for _, m := range snap.LocalEntries() {
		f.entries = append(f.entries, m.Entry)
	}
	return f
}
