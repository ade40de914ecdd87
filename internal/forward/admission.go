package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/loomkeel/loomkeel/internal/admit"
	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// recheckInterval is how often the first request in the queue checks for a slot that a request
// of another entry has freed.
const recheckInterval = 10 * time.Millisecond

// acquire is admit for an entry that may be stopping: it refuses the call if the entry would end before it.
func (p *Proxy) acquire(ctx context.Context, cl *call, state *serviceState, regions []string, mustWait bool) (balance.Choice, *verdict.Error) {
	if p.tooLate(cl, state) {
		return balance.Choice{}, leavingError()
	}
	choice, err := p.admit(ctx, cl, state, regions, mustWait)
	switch {
	case err == nil && p.tooLateAt(cl, state.balancer, choice):
		p.release(state, choice, balance.DoneInfo{Result: balance.Abandoned})
		return balance.Choice{}, leavingError()
	case err != nil && err.Verdict == verdict.NotRun && p.tooLate(cl, state):
		return balance.Choice{}, leavingError()
	}
	return choice, err
}

// admit admits the call and takes an upstream's slot, waiting in the queue if necessary. If
// mustWait is set, it always waits in the queue until a slot may have become free.
func (p *Proxy) admit(ctx context.Context, cl *call, state *serviceState, regions []string, mustWait bool) (balance.Choice, *verdict.Error) {
	svc := cl.service
	now := p.now()
	d := admit.Decide(admit.Input{
		Now:             now,
		Deadline:        cl.deadline,
		ExpectedLatency: minLatency(cl, state.balancer, regions[0]),
		Queued:          state.queue.Len(),
		QueueLimit:      svc.Queue,
		MaxWait:         max(0, svc.QueueWait-now.Sub(cl.start)),
		InFlight:        int(p.inFlight.Load()),
		Capacity:        p.opt.MaxInFlight,
		Priority:        cl.priority,
	})
	if d.Reason != "" {
		return balance.Choice{}, verdict.New(verdict.NotRun, string(d.Reason), nil).WithRetryAfter(d.RetryAfter)
	}
	p.countArrival(now, cl, state)
	if verr := p.admitFairly(now, cl, state); verr != nil {
		return balance.Choice{}, verr
	}
	if cl.ordered = p.needsOrder(now, cl, state); cl.ordered {
		return p.acquireInOrder(ctx, now, cl, state)
	}
	if svc.Routed {
		return p.acquireForObject(ctx, now, cl, state, regions[0])
	}
	req := balance.Request{Regions: regions, Allowed: p.allowedByCap(svc), Tried: cl.tried}
	if state.queue.Len() == 0 && !mustWait {
		choice, err := state.balancer.Pick(now, p.opt.Rand(), req)
		if err == nil {
			return choice, nil
		}
		if backoff := backoffBeyond(err, d.WaitUntil.Sub(now)); backoff != nil {
			return balance.Choice{}, p.backoffError(backoff)
		}
		if errors.Is(err, balance.ErrNoUpstream) {
			return balance.Choice{}, verdict.New(verdict.NotRun, reasonNoUpstream, err).WithRetryAfter(unavailableRetryAfter)
		}
	}
	return p.waitForSlot(ctx, cl, state, req, svc.Queue, d.WaitUntil, mustWait)
}

// minLatency returns the shortest time that a response is expected to take, which is half the
// usual time; 0 if unknown. For a request with a route the usual time is that of its own route.
// With the latency of the whole service, a route of short requests in a service of long ones
// would always be rejected, and its own latency would never be measured.
func minLatency(cl *call, balancer *balance.Balancer, region string) time.Duration {
	if cl.Route != nil {
		return balancer.ServiceTime(cl.Route.Name) / 2
	}
	return balancer.Latency(region) / 2
}

// acquireForObject picks an upstream for the call's object without queueing, and waits until
// the upstream's limit has room for the request.
func (p *Proxy) acquireForObject(ctx context.Context, now time.Time, cl *call, state *serviceState, region string) (balance.Choice, *verdict.Error) {
	choice, err := p.pickObject(now, cl, state)
	var late *balance.LateError
	var limit *balance.LimitError
	var backoff *balance.BackoffError
	switch {
	case err == nil:
		return p.waitForUpstreamLimit(ctx, cl, state, choice)
	case errors.As(err, &backoff):
		return balance.Choice{}, p.backoffError(backoff)
	case errors.As(err, &limit):
		return balance.Choice{}, verdict.New(verdict.NotRun, reasonUpstreamLimit, err).WithRetryAfter(limit.RetryAfter)
	case errors.As(err, &late):
		return balance.Choice{}, verdict.New(verdict.NotRun, reasonLate, err).WithRetryAfter(late.RetryAfter)
	}
	return balance.Choice{}, verdict.New(verdict.NotRun, reasonOf(err), err).WithRetryAfter(state.retryAfter(region))
}

// waitForUpstreamLimit waits until a request may be sent to the upstream that was picked for
// it. If ctx ends first, it gives the upstream's slot back.
func (p *Proxy) waitForUpstreamLimit(ctx context.Context, cl *call, state *serviceState, choice balance.Choice) (balance.Choice, *verdict.Error) {
	wait := choice.SendAt.Sub(p.now())
	if wait <= 0 || p.tooLateAt(cl, state.balancer, choice) {
		return choice, nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return choice, nil
	case <-ctx.Done():
		p.release(state, choice, balance.DoneInfo{Result: balance.Abandoned})
		return balance.Choice{}, verdict.New(verdict.NotRun, reasonCallerGone, ctx.Err())
	}
}

// Reasons of requests that no upstream can take.
const (
	reasonNoUpstream = "no-upstream"
	reasonNoSlot     = "no-slot"
	// reasonLate means that every upstream would currently respond too late for the objective.
	reasonLate = "would-be-late"
	// reasonUpstreamLimit means that the upstreams have reached their limits.
	reasonUpstreamLimit = "upstream-limit"
	// reasonBackoff means that the upstreams have asked this entry to send nothing for a time.
	reasonBackoff = "upstream-backoff"
)

const (
	// retryAfterSpreadShare is the largest part of a backoff that is added to the Retry-After of a
	// refusal, so that callers do not return at one moment; maxRetryAfterSpread bounds it.
	retryAfterSpreadShare = 0.5
	maxRetryAfterSpread   = time.Second
)

// backoffError returns the refusal of a request for which all upstreams back off.
func (p *Proxy) backoffError(err *balance.BackoffError) *verdict.Error {
	return verdict.New(verdict.NotRun, reasonBackoff, err).WithRetryAfter(p.spreadRetryAfter(err.RetryAfter))
}

// spreadRetryAfter adds a random part to the time until upstreams accept requests again.
func (p *Proxy) spreadRetryAfter(d time.Duration) time.Duration {
	spread := min(retryAfterSpreadShare*float64(d), float64(maxRetryAfterSpread))
	return d + time.Duration(p.opt.Rand().Float64()*spread)
}

// backoffBeyond returns the BackoffError in err if the backoff outlasts the longest wait, else nil.
func backoffBeyond(err error, longest time.Duration) *balance.BackoffError {
	var backoff *balance.BackoffError
	if errors.As(err, &backoff) && backoff.RetryAfter > longest {
		return backoff
	}
	return nil
}

func reasonOf(err error) string {
	if errors.Is(err, balance.ErrNoUpstream) {
		return reasonNoUpstream
	}
	return reasonNoSlot
}

// newRand returns a random source seeded by the global generator.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// allowedByCap returns a function that reports whether another request in a region stays within
// this entry's share of the region's in-flight cap.
func (p *Proxy) allowedByCap(svc *model.Service) func(string, int) bool {
	return func(region string, inFlight int) bool {
		return !svc.Capped(region) || p.opt.CapShares.Allow(svc.Name, region, inFlight, p.opt.BootClock())
	}
}

// waitForSlot waits in the queue, which takes at most queueLimit requests, until a slot is
// free, the time until is reached or ctx ends.
func (p *Proxy) waitForSlot(ctx context.Context, cl *call, state *serviceState, req balance.Request, queueLimit int, until time.Time, mustWait bool) (balance.Choice, *verdict.Error) {
	waiter, ok := state.queue.Enqueue(queueLimit)
	if !ok {
		return balance.Choice{}, verdict.New(verdict.NotRun, string(admit.ReasonQueueFull), nil).WithRetryAfter(state.retryAfter(req.Regions[0]))
	}
	defer state.queue.Remove(waiter)
	if mustWait {
		waiter.DiscardTurn()
	}
	timer := time.NewTimer(until.Sub(p.now()))
	defer timer.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		select {
		case <-recheck.C:
			if p.tooLate(cl, state) {
				return balance.Choice{}, leavingError()
			}
			state.queue.Wake()
		case <-waiter.Ready():
			choice, err := state.balancer.Pick(p.now(), p.opt.Rand(), req)
			if err == nil {
				return choice, nil
			}
			if backoff := backoffBeyond(err, until.Sub(p.now())); backoff != nil {
				return balance.Choice{}, p.backoffError(backoff)
			}
		case <-timer.C:
			return balance.Choice{}, verdict.New(verdict.NotRun, reasonNoSlot, nil).WithRetryAfter(state.retryAfter(req.Regions[0]))
		case <-ctx.Done():
			return balance.Choice{}, verdict.New(verdict.NotRun, reasonCallerGone, ctx.Err())
		}
	}
}
