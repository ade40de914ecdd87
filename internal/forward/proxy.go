// Package forward proxies HTTP requests from callers to upstreams.
//
// A Proxy parses a request, admits or rejects it, picks an upstream and sends the request.
// After a failed attempt the verdict of that attempt decides whether another upstream is tried.
// Request and response bodies are streamed in bounded memory. Every response that the Proxy
// generates itself states whether the request may have run.
package forward

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/admit"
	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/demand"
	"github.com/loomkeel/loomkeel/internal/logs"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/overload"
	"github.com/loomkeel/loomkeel/internal/poison"
	"github.com/loomkeel/loomkeel/internal/quota"
	"github.com/loomkeel/loomkeel/internal/reach"
	"github.com/loomkeel/loomkeel/internal/rollout"
	"github.com/loomkeel/loomkeel/internal/share"
	"github.com/loomkeel/loomkeel/internal/shift"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// Options configures a Proxy.
type Options struct {
	// Self is the ID of the entry's instance.
	Self string
	// Domain is the failure domain of the entry's instance.
	Domain string
	// Protocol reads and writes the headers of callers and upstreams; nil means Native.
	Protocol Protocol
	// MaxInFlight is the largest number of requests that the entry handles at one time.
	MaxInFlight int
	// MaxBody is the largest request body in bytes; 0 means no limit. A limit in the snapshot
	// takes precedence.
	MaxBody int64
	// MaxBuffered is the largest memory in bytes that all requests together use for bodies, and
	// as much again for long response headers while they are read; 0 means no limit.
	MaxBuffered int64
	// TLS is the client configuration for upstreams; nil means plain HTTP.
	TLS *tls.Config
	// Transport sends requests to upstreams; nil means a new Pool. A transport whose
	// connections are not of type *trackedConn cannot report what was written, so the Proxy
	// treats every failed attempt that got a connection as one that may have run.
	Transport http.RoundTripper
	// DialTimeout limits the wait for a connection to an upstream; 0 means defaultDialTimeout.
	DialTimeout time.Duration
	// Now returns the current time. SyncNow first corrects the clock for a suspension of the
	// machine and then returns the current time; nil means Now.
	Now, SyncNow func() time.Time
	// Rand returns the random source for one decision; nil means a source seeded by the global
	// generator.
	Rand func() *rand.Rand
	// Peers returns the entries to which requests may be handed over while this entry is isolated;
	// nil disables handovers. IsPeer reports whether an entry has a given IP address; nil means that
	// no entry is known.
	Peers  func() Peers
	IsPeer func(entry string, ip netip.Addr) bool
	// Gate returns what divides the room of a service among its requests; nil means package fairshare.
	Gate func(service string) overload.Gate
	// CapShares holds this entry's shares of the in-flight caps. Its times are read from
	// BootClock, in nanoseconds.
	CapShares *share.Limiter
	BootClock func() int64
	// NewID returns a new request ID.
	NewID func() string
	// Observe is called at the end of each request and must not block.
	Observe func(Outcome)
}

// Outcome describes a finished request, for metrics and logs.
type Outcome struct {
	// Service is the name of the requested service, and ID the request ID.
	Service string
	ID      string
	// Organisation is the name of the organisation that the request belongs to; empty if the
	// request had no key.
	Organisation string
	// Route is the name of the request's route, and Objective the response time up to which the
	// response has its full value. Both are empty for a request without a route.
	Route     string
	Objective time.Duration
	// Version is the revision of the configuration that the request was served with.
	Version uint64
	// Choice is the last upstream that was picked.
	Choice balance.Choice
	// Peer is the ID of the entry that the request was handed over to, HandoverFrom that of the
	// entry that handed it over to this one; empty if none did.
	Peer, HandoverFrom string
	// Response is what that upstream's response said.
	Response ResponseInfo
	// Status is the HTTP status that was sent to the caller.
	Status  int
	Verdict verdict.Verdict
	// Reason identifies the failure of a request; empty on success.
	Reason string
	// Detail explains a response that the Proxy generated itself.
	Detail string
	// Duration is the time from the arrival of the request to its end.
	Duration time.Duration
	// SecondSend is "won" if the request was sent to a second upstream while the first had not answered
	// and the second answered first, "lost" if it did not, and empty without a second send.
	SecondSend string
	// Evidence is what the attempts that counted as not run rest on, for a request that may run only
	// once.
	Evidence []Evidence
	// Attempts is the number of attempts. Sheds that were retried within the shed limit do not
	// count.
	Attempts int
}

// Proxy is an http.Handler that forwards requests to upstreams. It is safe for concurrent use.
type Proxy struct {
	opt       Options
	now       func() time.Time
	scheme    string
	transport http.RoundTripper
	snap      atomic.Pointer[model.Snapshot]
	inFlight  atomic.Int64
	stopping  atomic.Bool
	// end is when ExpireRequests will be called; nil until StopIn.
	end atomic.Pointer[time.Time]
	// excluded is set while the other entries do not count this one as a member; see SetMember.
	excluded           atomic.Bool
	mu                 sync.RWMutex
	services           map[string]*serviceState
	splits             *splits
	buffers            buffers
	rollouts           *rollout.Tracker
	poison             *poison.Tracker
	organisationLimits *quota.Limiter
	demand             *demand.Tracker
	deadlines          *deadlineSet
	reach              *reach.Detector
	// reachFailed receives a value after an attempt found no connection or broke.
	reachFailed chan struct{}
	peers       *peerPicker
	abandonable *abandonableSet
	// handoversReceived counts the requests that other entries handed over to this one.
	handoversReceived atomic.Int64
	// urgentLimitUpdates receives a value when limit updates should be sent to other
	// entries without delay.
	urgentLimitUpdates chan struct{}
	// announcementLog bounds the log lines about announcements of upstreams.
	announcementLog *logs.Limiter
	refusals        refusalLog
	unnamed         *unnamedRefusals
}

// serviceState is the state of one service.
type serviceState struct {
	balancer *balance.Balancer
	queue    admit.Queue
	ordered  orderedQueue
	budget   *balance.RetryBudget
	// shedBudget limits how often a shed request is retried without waiting in the queue.
	shedBudget *balance.RetryBudget
	shift      *shift.Splitter
	hedges     hedgeCounters
	// fair divides the room among ranks and organisations; gate is what requests are admitted by.
	fair *fairShares
	gate overload.Gate
}

// New returns a Proxy that rejects all requests until the first Update.
func New(opt Options) *Proxy {
	if opt.Protocol == nil {
		opt.Protocol = Native{}
	}
	if opt.Transport == nil {
		opt.Transport = NewPool(PoolOptions{TLS: opt.TLS, DialTimeout: opt.DialTimeout, MaxHeaders: opt.MaxBuffered, Now: opt.Now, Matches: opt.Protocol.Matches, SentID: opt.Protocol.SentID, Identified: opt.Protocol.Identified})
	}
	if opt.SyncNow == nil {
		opt.SyncNow = opt.Now
	}
	if opt.Rand == nil {
		opt.Rand = newRand
	}
	p := &Proxy{
		opt:                opt,
		now:                opt.Now,
		scheme:             "http",
		transport:          opt.Transport,
		services:           make(map[string]*serviceState),
		splits:             newSplits(),
		buffers:            buffers{limit: opt.MaxBuffered},
		rollouts:           rollout.NewTracker(),
		poison:             poison.NewTracker(opt.Self),
		organisationLimits: quota.NewLimiter(),
		demand:             demand.NewTracker(),
		deadlines:          newDeadlineSet(),
		reach:              reach.NewDetector(),
		reachFailed:        make(chan struct{}, 1),
		peers:              newPeerPicker(),
		abandonable:        newAbandonableSet(),
		unnamed:            newUnnamedRefusals(),
		urgentLimitUpdates: make(chan struct{}, 1),
		announcementLog:    logs.NewLimiter(announcementLogsPerSecond, announcementLogBurst),
	}
	if opt.TLS != nil {
		p.scheme = "https"
	}
	return p
}

// retryAfter returns the Retry-After time for a rejected request that would have gone to
// region.
func (state *serviceState) retryAfter(region string) time.Duration {
	return admit.RetryAfter(state.queue.Len(), state.balancer.Latency(region))
}

// Update puts a newer snapshot into force.
func (p *Proxy) Update(s *model.Snapshot) {
	now := p.now()
	for name, svc := range s.Services {
		state := p.serviceState(name)
		restarted := state.balancer.Update(balance.ServiceState{
			Service: svc, Draining: s.Draining, Subset: p.upstreamSubset(s, svc),
			Self: p.opt.Self, Region: s.Region, Domain: p.opt.Domain, Entries: entriesOf(s),
			JoinedSince: s.ChangedSince,
		}, now)
		state.balancer.SetMember(!p.excluded.Load(), now)
		p.closeIdle(restarted)
		state.fair.enabled.Store(svc.Routed && slotsKnown(svc))
		if svc.Routed {
			state.budget.SetBurst(svc.RetryBurst)
		}
		state.queue.Wake()
	}
	p.reach.SetKnown(knownUpstreams(s))
	p.rollouts.SetTraffic(trafficOf(s))
	p.demand.SetRegion(s.Region)
	p.demand.Retain(func(service string) bool { return s.Services[service] != nil })
	p.organisationLimits.Update(s.Organisations, s.LimitSlack, now)
	was := p.snap.Swap(s)
	if was == nil || was.Revision == s.Revision {
		return
	}
	for _, state := range p.allServices() {
		p.reconsider(state)
	}
}

// entriesOf returns the entries that send requests to the upstreams.
func entriesOf(s *model.Snapshot) []model.Member {
	if s.Advertised != nil {
		return s.Advertised
	}
	return s.LocalEntries()
}

// upstreamSubset returns the IDs of the upstreams of a service that this entry uses first. It
// returns nil for a service with routes, whose requests are placed by their objects.
func (p *Proxy) upstreamSubset(s *model.Snapshot, svc *model.Service) map[string]bool {
	if svc.Routed {
		return nil
	}
	var entries []string
	for _, m := range s.LocalEntries() {
		entries = append(entries, m.ID)
	}
	return balance.Subset(svc.Upstreams, s.Region, p.opt.Self, entries)
}

// idleCloser is a transport that can close its idle connections to one address.
type idleCloser interface{ CloseIdle(addr string) }

// closeIdle closes the idle connections to upstreams that have restarted.
func (p *Proxy) closeIdle(addresses []string) {
	closer, ok := p.transport.(idleCloser)
	if !ok {
		return
	}
	for _, addr := range addresses {
		klog.InfoS("upstream restarted, closing idle connections", "address", addr)
		closer.CloseIdle(addr)
	}
}

// Snapshot returns the snapshot in force, or nil before the first Update.
func (p *Proxy) Snapshot() *model.Snapshot { return p.snap.Load() }

// Stop makes the Proxy reject new requests. Requests in flight continue.
func (p *Proxy) Stop() { p.stopping.Store(true) }

// ExpireRequests ends all requests in flight as if their deadlines had passed. Each is answered, and
// so are those whose answers wait behind it, before the process ends.
func (p *Proxy) ExpireRequests() { p.deadlines.expireAll() }

// InFlight returns the number of requests that the entry is handling.
func (p *Proxy) InFlight() int { return int(p.inFlight.Load()) }

func (p *Proxy) serviceState(service string) *serviceState {
	p.mu.RLock()
	state := p.services[service]
	p.mu.RUnlock()
	if state != nil {
		return state
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if state = p.services[service]; state == nil {
		state = &serviceState{balancer: balance.NewBalancer(), budget: balance.NewRetryBudget(retryBurst), shedBudget: balance.NewRetryBudget(shedBurst), shift: shift.NewSplitter(), fair: newFairShares(p.opt.Self)}
		state.balancer.OnLimitUpdate(p.notifyLimitUpdates)
		state.gate = state.fair.gate
		if p.opt.Gate != nil {
			state.gate = p.opt.Gate(service)
		}
		p.services[service] = state
	}
	return state
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	start := p.opt.SyncNow()
	out := Outcome{}
	defer func() {
		out.Duration = p.now().Sub(start)
		p.opt.Observe(out)
	}()
	received := p.takeHandover(r)
	if received != nil {
		p.handoversReceived.Add(1)
		out.HandoverFrom = received.From
	}
	snap := p.snap.Load()
	if snap == nil {
		p.reply(w, r, nil, &out, p.unavailable(snap))
		return
	}
	info, reqErr := p.opt.Protocol.ParseRequest(r, snap)
	if info.ID == "" {
		info.ID = p.opt.NewID()
	}
	out.ID = info.ID
	switch {
	case p.stopping.Load():
		p.reply(w, r, nil, &out, p.unavailable(snap))
	case reqErr != nil:
		p.reply(w, r, nil, &out, reqErr.localReply())
	default:
		p.handle(w, r, snap, info, received, &out)
	}
}

// handle serves a request that was parsed without error.
func (p *Proxy) handle(w http.ResponseWriter, r *http.Request, snap *model.Snapshot, info RequestInfo, received *handover, out *Outcome) {
	svc := p.selectService(snap, &info)
	out.Service, out.Version = info.Service, snap.Revision
	if info.Organisation != nil {
		out.Organisation = info.Organisation.Name
	}
	if info.Route != nil {
		out.Route, out.Objective = info.Route.Name, info.Route.Objective
	}
	if svc == nil {
		// A route may name a service that has no settings and no upstreams yet.
		p.reply(w, r, nil, out, replyFor(verdict.New(verdict.NotRun, reasonNoUpstream, nil).WithRetryAfter(unavailableRetryAfter), verdict.NotRun))
		return
	}
	cl := newCall(w, r, info, svc, &p.buffers, p.now())
	defer cl.body.release()
	cl.configVersion = snap.Revision
	cl.applyHandover(received)
	if received != nil && p.reach.Isolated() {
		p.reply(w, r, cl.body, out, isolatedReply())
		return
	}
	if limit := p.maxBody(snap); limit > 0 {
		if r.ContentLength > limit {
			p.reply(w, r, cl.body, out, &localReply{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge, verdict: verdict.NotRun})
			return
		}
		cl.body.src = http.MaxBytesReader(w, r.Body, limit)
	}
	if !p.shouldHandOver(cl) {
		if reply := p.takeOrganisationLimit(cl); reply != nil {
			p.reply(w, r, cl.body, out, reply)
			return
		}
		p.recordArrival(cl)
	}
	defer p.refundOrganisationLimit(cl)
	ctx := r.Context()
	if info.Route != nil && !info.Idempotent {
		// A request that is not safe to repeat continues after its caller has left, so that its
		// execution at the upstream is not cut off in an unknown state.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, release := p.deadlines.withDeadline(ctx, p.now(), cl.deadline)
	defer release()
	defer cl.body.interruptRead(ctx, w)()
	if verr := p.beginPoisonCheck(ctx, cl); verr != nil {
		p.reply(w, r, cl.body, out, replyFor(verr, verdict.NotRun))
		return
	}
	defer p.endPoisonCheck(cl)
	defer p.recordRefusal(cl, out)
	p.serve(ctx, w, r, snap, cl, out)
}

// selectService returns the service for a request, or nil if the snapshot does not have it. For
// a request with a route it picks one of the route's services and sets info.Service.
func (p *Proxy) selectService(snap *model.Snapshot, info *RequestInfo) *model.Service {
	if info.Route != nil {
		info.Service = p.splits.choose(info.Route, info.Object)
	}
	return snap.Services[info.Service]
}

func (p *Proxy) maxBody(snap *model.Snapshot) int64 {
	if snap.Limits.MaxBody > 0 {
		return snap.Limits.MaxBody
	}
	return p.opt.MaxBody
}
