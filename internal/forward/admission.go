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

// recheckEvery is how often the first in the queue looks for a slot that another
// entry's request has freed.
const recheckEvery = 10 * time.Millisecond

// take admits the call and takes a slot, waiting in the queue if it has to. A
// patient call waits in any case until a slot may have become free.
func (c *Proxy) take(ctx context.Context, cl *call, l *lane, regions []string, patient bool) (balance.Choice, *verdict.Error) {
	svc := cl.service
	now := c.now()
	d := admit.Decide(admit.Input{
		Now:             now,
		Deadline:        cl.deadline,
		ExpectedLatency: expected(cl, l.group, regions[0]),
		Queued:          l.queue.Len(),
		QueueLimit:      svc.Queue,
		MaxWait:         max(0, svc.QueueWait-now.Sub(cl.began)),
		InFlight:        int(c.inFlight.Load()),
		Capacity:        c.opt.MaxInFlight,
		Priority:        cl.priority,
	})
	if d.Reason != "" {
		return balance.Choice{}, verdict.New(verdict.NotRun, string(d.Reason), nil).WithRetryAfter(d.RetryAfter)
	}
	if svc.Routed {
		return takeForObject(now, cl, l, regions[0])
	}
	req := balance.Request{Regions: regions, Allowed: c.allowed(svc), Tried: cl.tried}
	if l.queue.Len() == 0 && !patient {
		choice, err := l.group.Pick(now, c.opt.Rand(), req)
		if err == nil {
			return choice, nil
		}
		if errors.Is(err, balance.ErrNoUpstream) {
			return balance.Choice{}, verdict.New(verdict.NotRun, reasonNoUpstream, err).WithRetryAfter(stopRetry)
		}
	}
	return c.wait(ctx, l, req, svc.Queue, d.WaitUntil, patient)
}

// expected returns how long an answer takes at the least, 0 if unknown: half of what is usual.
// That of a request with a route is the work of its own route. By the latency of the service
// a route of short requests, among others whose work is long, would be refused for ever, as
// it never came to tell its own.
func expected(cl *call, group *balance.Balancer, region string) time.Duration {
	if cl.Route != nil {
		return group.ServiceTime(cl.Route.Name) / 2
	}
	return group.Latency(region) / 2
}

// takeForObject picks an upstream for the call's object.
func takeForObject(now time.Time, cl *call, l *lane, region string) (balance.Choice, *verdict.Error) {
	choice, err := l.group.PickObject(now, cl.objectRequest())
	var late *balance.LateError
	var limit *balance.LimitError
	switch {
	case err == nil:
		return choice, nil
	case errors.As(err, &limit):
		return balance.Choice{}, verdict.New(verdict.NotRun, reasonUpstreamLimit, err).WithRetryAfter(limit.RetryAfter)
	case errors.As(err, &late):
		return balance.Choice{}, verdict.New(verdict.NotRun, reasonLate, err).WithRetryAfter(late.RetryAfter)
	}
	return balance.Choice{}, verdict.New(verdict.NotRun, reasonOf(err), err).WithRetryAfter(l.retryAfter(region))
}

// Reasons of a request that no upstream can take.
const (
	reasonNoUpstream = "no-upstream"
	reasonNoSlot     = "no-slot"
	// reasonLate means that the answer would come too late now.
	reasonLate = "would-be-late"
	// reasonUpstreamLimit means that the upstreams take no more requests a second.
	reasonUpstreamLimit = "upstream-limit"
)

func reasonOf(err error) string {
	if errors.Is(err, balance.ErrNoUpstream) {
		return reasonNoUpstream
	}
	return reasonNoSlot
}

// newRand returns a source seeded from the process's own.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// allowed keeps the requests in flight in a region within the own share of its
// cap.
func (c *Proxy) allowed(svc *model.Service) func(string, int) bool {
	return func(region string, inFlight int) bool {
		return !svc.Capped(region) || c.opt.CapShares.Allow(svc.Name, region, inFlight, c.opt.BootClock())
	}
}

// wait holds a place in the queue until a slot is free or it is time to give up.
func (c *Proxy) wait(ctx context.Context, l *lane, req balance.Request, limit int, giveUp time.Time, patient bool) (balance.Choice, *verdict.Error) {
	t, ok := l.queue.Enqueue(limit)
	if !ok {
		return balance.Choice{}, verdict.New(verdict.NotRun, string(admit.ReasonQueueFull), nil).WithRetryAfter(l.retryAfter(req.Regions[0]))
	}
	defer l.queue.Remove(t)
	if patient {
		t.DiscardTurn()
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
			return balance.Choice{}, verdict.New(verdict.NotRun, reasonNoSlot, nil).WithRetryAfter(l.retryAfter(req.Regions[0]))
		case <-ctx.Done():
			return balance.Choice{}, verdict.New(verdict.NotRun, reasonCallerGone, ctx.Err())
		}
	}
}
