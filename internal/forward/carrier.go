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
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/admit"
	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/share"
	"github.com/loomkeel/loomkeel/internal/shift"
	"github.com/loomkeel/loomkeel/internal/tree"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// Options sets up a Carrier.
type Options struct {
	// Self is the id of the entry's instance.
	Self string
	// Room is how many requests may be in the entry at one time.
	Room int
	// MaxBody is the largest request body in bytes; 0 means no bound.
	MaxBody int64
	// TLS is for upstreams; nil means plain HTTP.
	TLS *tls.Config
	// Transport replaces the one that NewTransport makes; nil means that one.
	// Without connections of its own kind the Carrier takes every attempt that
	// got a connection for one that may have run.
	Transport http.RoundTripper
	// Now is the clock.
	Now func() time.Time
	// Rand returns the source for the random choices of one decision; nil means
	// one seeded from the process's own.
	Rand func() *rand.Rand
	// Book holds the own shares of the caps, by the clock Boot.
	Book *share.Book
	Boot func() int64
	// NewID makes request ids.
	NewID func() string
	// Observe is called at the end of each request; it must be quick.
	Observe func(Outcome)
}

// Outcome is how a request ended, for metrics and logs.
type Outcome struct {
	Service  string
	ID       string
	Upstream string
	Status   int
	Verdict  verdict.Verdict
	Reason   string
	Took     time.Duration
	Attempts int
}

// Carrier is an http.Handler. It is safe for concurrent use.
type Carrier struct {
	opt       Options
	now       func() time.Time
	scheme    string
	transport http.RoundTripper
	snap      atomic.Pointer[model.Snapshot]
	inFlight  atomic.Int64
	stopping  atomic.Bool
	mu        sync.RWMutex
	lanes     map[string]*lane
}

// lane is the state of one service.
type lane struct {
	group  *balance.Group
	queue  admit.Queue
	budget *balance.Budget
	// sheds limits how often requests go on after a shed.
	sheds *balance.Budget
	shift *shift.Meter
}

// New returns a Carrier that refuses everything until its first Update.
func New(opt Options) *Carrier {
	if opt.Transport == nil {
		opt.Transport = NewTransport(opt.TLS)
	}
	if opt.Rand == nil {
		opt.Rand = newRand
	}
	c := &Carrier{opt: opt, now: opt.Now, scheme: "http", transport: opt.Transport, lanes: make(map[string]*lane)}
	if opt.TLS != nil {
		c.scheme = "https"
	}
	return c
}

// Update installs a newer snapshot.
func (c *Carrier) Update(s *model.Snapshot) {
	now := c.now()
	var entries []string
	for _, m := range s.Members {
		if m.Entry != "" && m.Region == s.Region {
			entries = append(entries, m.ID)
		}
	}
	for name, svc := range s.Services {
		l := c.lane(name)
		owned := balance.Owned(svc.Upstreams, s.Region, c.opt.Self, entries)
		l.group.Update(balance.Input{Service: svc, Draining: s.Draining, Owned: owned}, now)
		l.queue.Wake()
	}
	c.snap.Store(s)
}

// Snapshot returns the snapshot in force, or nil before the first.
func (c *Carrier) Snapshot() *model.Snapshot { return c.snap.Load() }

// Stop makes the Carrier refuse new requests. Those in flight go on.
func (c *Carrier) Stop() { c.stopping.Store(true) }

// InFlight returns the number of requests in the entry.
func (c *Carrier) InFlight() int { return int(c.inFlight.Load()) }

func (c *Carrier) lane(service string) *lane {
	c.mu.RLock()
	l := c.lanes[service]
	c.mu.RUnlock()
	if l != nil {
		return l
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if l = c.lanes[service]; l == nil {
		l = &lane{group: balance.NewGroup(), budget: balance.NewBudget(retryBurst), sheds: balance.NewBudget(shedBurst), shift: shift.NewMeter()}
		c.lanes[service] = l
	}
	return l
}

// ServeHTTP implements http.Handler.
func (c *Carrier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	start := c.now()
	id := requestID(r, c.opt.NewID)
	out := Outcome{ID: id}
	defer func() {
		out.Took = c.now().Sub(start)
		c.opt.Observe(out)
	}()
	snap := c.snap.Load()
	if snap == nil || c.stopping.Load() {
		out.refused(w, c.leaving(snap))
		return
	}
	cl, bad := parseCall(r, snap, id, start)
	if bad != nil {
		out.refused(w, bad)
		return
	}
	out.Service = cl.service.Name
	if c.opt.MaxBody > 0 {
		if r.ContentLength > c.opt.MaxBody {
			out.refused(w, &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge, verdict: verdict.NotRun})
			return
		}
		cl.body.src = http.MaxBytesReader(w, r.Body, c.opt.MaxBody)
	}
	ctx, cancel := context.WithDeadline(r.Context(), cl.deadline)
	defer cancel()
	c.serve(ctx, w, r, snap, cl, &out)
}

// maxRequestID is the largest length of a request id from a caller in bytes.
const maxRequestID = 64

func requestID(r *http.Request, newID func() string) string {
	if id := r.Header.Get(header.RequestID); id != "" && len(id) <= maxRequestID {
		return id
	}
	return newID()
}

func (o *Outcome) refused(w http.ResponseWriter, f *refusal) {
	o.Status, o.Verdict, o.Reason = f.status, f.verdict, f.reason
	f.write(w, o.ID)
}

// stopRetry is the advice to a caller of a stopping entry that knows no other.
const stopRetry = time.Second

// leaving is the answer of an entry that stops or has no snapshot yet.
func (c *Carrier) leaving(snap *model.Snapshot) *refusal {
	f := &refusal{status: http.StatusServiceUnavailable, reason: "entry-leaving", verdict: verdict.NotRun, retryAfter: stopRetry}
	if snap == nil {
		f.reason = "entry-starting"
		return f
	}
	for _, m := range snap.Members {
		if m.Entry != "" && m.Region == snap.Region {
			f.entries = append(f.entries, m.Entry)
		}
	}
	return f
}

const (
	// retryBurst is how many retries may be made before any success.
	retryBurst = 10
	// maxSheds is how often a request may be shed and go on. A shed ran nothing
	// and costs an upstream little, so it counts neither as an attempt nor
	// against the retry budget. It has a budget of its own, shedShare of recent
	// successes; beyond that a request waits in the queue before it goes on, or
	// under overload requests would spend themselves on sheds.
	maxSheds  = 12
	shedShare = 1.0
	shedBurst = 20
	// recheckEvery is how often the first in the queue looks for a slot that
	// another entry's request has freed.
	recheckEvery = 10 * time.Millisecond
)

// serve runs attempts until one is answered or none may follow.
func (c *Carrier) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, snap *model.Snapshot, cl *call, out *Outcome) {
	l := c.lane(cl.service.Name)
	regions := c.regions(snap, cl, l)
	var last *verdict.Error
	sheds, patient := 0, false
	for {
		choice, err := c.take(ctx, cl, l, regions, patient)
		if err != nil {
			if last == nil || err.Verdict == verdict.MayHaveRun {
				last = err
			}
			break
		}
		out.Upstream = choice.ID
		ans, err := c.attempt(ctx, r, cl, choice)
		if err != nil && err.Reason == reasonShed && sheds < maxSheds {
			sheds++
			last = err
			patient = !l.sheds.Take()
			c.done(l, choice, reportFor(err))
			continue
		}
		out.Attempts++
		cl.tried = append(cl.tried, choice.ID)
		if err == nil && !retryableAnswer(cl, ans, out.Attempts) {
			c.deliver(w, l, cl, choice, ans, out)
			return
		}
		if err == nil {
			err = brokenAnswer(ans)
		}
		c.done(l, choice, reportFor(err))
		regions = cl.after(err, choice.Region, regions)
		cl.outcome = verdict.Join(cl.outcome, err.Verdict)
		last = err
		if !c.mayRetry(ctx, cl, l, err, out.Attempts) {
			break
		}
	}
	f := refusalFor(last, cl.outcome)
	f.retryAfter = max(f.retryAfter, admit.RetryAfter(l.queue.Len(), l.group.Latency(regions[0])))
	out.refused(w, f)
}

// mayRetry decides whether a failed attempt is followed by another: only by its
// verdict, within the attempts, the deadline and the budget.
func (c *Carrier) mayRetry(ctx context.Context, cl *call, l *lane, err *verdict.Error, attempts int) bool {
	if ctx.Err() != nil || attempts >= cl.service.Attempts {
		return false
	}
	if err.Verdict != verdict.NotRun && !cl.safe {
		return false
	}
	return l.budget.Take()
}

// retryableAnswer reports whether an answer to a safe request should be tried
// elsewhere rather than delivered.
func retryableAnswer(cl *call, a *answer, attempts int) bool {
	if !cl.safe || attempts >= cl.service.Attempts {
		return false
	}
	switch a.resp.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func brokenAnswer(a *answer) *verdict.Error {
	discard(a.resp)
	return verdict.New(verdict.Ran, reasonBroken, errors.New("upstream answered "+a.resp.Status))
}

// reportFor tells the balancer how a failed attempt reflects on its upstream.
func reportFor(err *verdict.Error) balance.Report {
	r := balance.Report{Result: balance.Failed, Load: -1}
	switch err.Reason {
	case reasonShed:
		r.Result = balance.Shed
	case reasonUnreachable:
		r.Result = balance.Unreachable
	case reasonCallerGone, reasonBodyUsed, reasonCallerBody, reasonTooLarge:
		r.Result = balance.Abandoned
	}
	return r
}

// done frees an upstream's slot and gives the next in the queue a turn.
func (c *Carrier) done(l *lane, choice balance.Choice, r balance.Report) {
	l.group.Done(c.now(), choice, r)
	l.queue.Wake()
}

// deliver sends the answer and frees the slot when it has gone out whole.
func (c *Carrier) deliver(w http.ResponseWriter, l *lane, cl *call, choice balance.Choice, a *answer, out *Outcome) {
	load, draining := reportOf(a.resp)
	report := balance.Report{Result: balance.OK, Load: load, Draining: draining}
	if a.read {
		c.done(l, choice, report)
	}
	_, err := a.deliver(w, cl.id)
	if err != nil {
		report.Result = balance.Abandoned
	}
	if !a.read {
		c.done(l, choice, report)
	}
	out.Status, out.Verdict = a.resp.StatusCode, verdict.Ran
	if err != nil {
		out.Reason = reasonBroken
		klog.InfoS("answer broke off", "request", cl.id, "upstream", choice.ID, "err", err)
		panic(http.ErrAbortHandler)
	}
	l.budget.Succeeded(cl.service.RetryBudget)
	l.sheds.Succeeded(shedShare)
}

// regions returns the regions to try, in order: the one that a move names, the
// own, then those for overflow.
func (c *Carrier) regions(snap *model.Snapshot, cl *call, l *lane) []string {
	var moves []tree.Move
	for _, m := range snap.Moves {
		if m.Service == cl.service.Name && m.From == snap.Region {
			moves = append(moves, m)
		}
	}
	order := append([]string{snap.Region}, cl.service.Overflow...)
	if len(moves) == 0 {
		return order
	}
	to := l.shift.Decide(shift.Input{
		Now:   c.now(),
		Moves: moves,
		Cap:   cl.service.ShiftCap,
		Rate:  cl.service.ShiftRate,
		Seen:  l.group.Seen,
	})
	if to == "" {
		return order
	}
	return append([]string{to}, order...)
}

// take admits the call and takes a slot, waiting in the queue if it has to. A
// patient call waits in any case until a slot may have become free.
func (c *Carrier) take(ctx context.Context, cl *call, l *lane, regions []string, patient bool) (balance.Choice, *verdict.Error) {
	svc := cl.service
	now := c.now()
	wait := svc.QueueWait - now.Sub(cl.began)
	if wait < 0 {
		wait = 0
	}
	d := admit.Decide(admit.Input{
		Now:      now,
		Deadline: cl.deadline,
		Expected: l.group.Latency(regions[0]) / 2,
		Waiting:  l.queue.Len(),
		Limit:    svc.Queue,
		Wait:     wait,
		InFlight: int(c.inFlight.Load()),
		Room:     c.opt.Room,
		Priority: svc.Priority,
	})
	if d.Reason != "" {
		return balance.Choice{}, verdict.New(verdict.NotRun, string(d.Reason), nil).After(d.RetryAfter)
	}
	req := balance.Request{Regions: regions, Allowed: c.allowed(svc), Tried: cl.tried}
	if l.queue.Len() == 0 && !patient {
		choice, err := l.group.Pick(now, c.opt.Rand(), req)
		if err == nil {
			return choice, nil
		}
		if errors.Is(err, balance.ErrNoUpstream) {
			return balance.Choice{}, verdict.New(verdict.NotRun, "no-upstream", err).After(stopRetry)
		}
	}
	return c.wait(ctx, l, req, svc.Queue, d.GiveUp, patient)
}

// newRand returns a source seeded from the process's own.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// allowed keeps the requests in flight in a region within the own share of its
// cap.
func (c *Carrier) allowed(svc *model.Service) func(string, int) bool {
	return func(region string, inFlight int) bool {
		return !svc.Capped(region) || c.opt.Book.Allow(svc.Name, region, inFlight, c.opt.Boot())
	}
}

// wait holds a place in the queue until a slot is free or it is time to give up.
func (c *Carrier) wait(ctx context.Context, l *lane, req balance.Request, limit int, giveUp time.Time, patient bool) (balance.Choice, *verdict.Error) {
	t, ok := l.queue.Join(limit)
	if !ok {
		after := admit.RetryAfter(l.queue.Len(), l.group.Latency(req.Regions[0]))
		return balance.Choice{}, verdict.New(verdict.NotRun, string(admit.ReasonQueueFull), nil).After(after)
	}
	defer l.queue.Leave(t)
	if patient {
		t.Pass()
	}
	timer := time.NewTimer(giveUp.Sub(c.now()))
	defer timer.Stop()
	recheck := time.NewTicker(recheckEvery)
	defer recheck.Stop()
	for {
		select {
		case <-recheck.C:
			l.queue.Wake()
		case <-t.Ready():
			choice, err := l.group.Pick(c.now(), c.opt.Rand(), req)
			if err == nil {
				return choice, nil
			}
		case <-timer.C:
			after := admit.RetryAfter(l.queue.Len(), l.group.Latency(req.Regions[0]))
			return balance.Choice{}, verdict.New(verdict.NotRun, "no-slot", nil).After(after)
		case <-ctx.Done():
			return balance.Choice{}, verdict.New(verdict.NotRun, reasonCallerGone, ctx.Err())
		}
	}
}

// Usage returns what the entry uses of the caps, with the refusals since the
// last call.
func (c *Carrier) Usage() []share.Reported {
	limits := make(map[[2]string]share.Use)
	for _, u := range c.opt.Book.Uses(c.opt.Boot()) {
		limits[[2]string{u.Service, u.Region}] = u
	}
	snap := c.snap.Load()
	if snap == nil {
		return nil
	}
	var out []share.Reported
	for name, svc := range snap.Services {
		for region := range svc.MaxInFlight {
			if !svc.Capped(region) {
				continue
			}
			u := limits[[2]string{name, region}]
			out = append(out, share.Reported{Service: name, Region: region, Usage: share.Usage{
				InFlight: c.lane(name).group.InFlight(region), Refused: u.Refused, Limit: u.Limit,
			}})
		}
	}
	return out
}

// ServiceStatus is the state of one service, for dumps.
type ServiceStatus struct {
	Waiting   int                `json:"waiting"`
	Shares    map[string]float64 `json:"move_shares,omitempty"`
	Upstreams []balance.Status   `json:"upstreams"`
}

// Dump returns the state of all services.
func (c *Carrier) Dump() map[string]ServiceStatus {
	now := c.now()
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make(map[string]ServiceStatus, len(c.lanes))
	for name, l := range c.lanes {
		out[name] = ServiceStatus{l.queue.Len(), l.shift.Shares(), l.group.Dump(now)}
	}
	return out
}
