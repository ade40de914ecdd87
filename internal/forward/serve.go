package forward

import (
	"context"
	"errors"
	"net/http"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/shift"
	"github.com/loomkeel/loomkeel/internal/tree"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

const (
	// retryBurst is the number of retries that are allowed before any request has succeeded.
	retryBurst = 10
	// maxSheds is how often one request may be shed and retried. An upstream does not run a
	// request that it sheds, and shedding costs it little, so a shed counts neither as an
	// attempt nor against the retry budget. Retries after sheds have their own budget of
	// shedBudgetRatio per successful request. Without budget left the request waits in the
	// queue first, so that under overload requests do not use up their retries on sheds.
	maxSheds        = 12
	shedBudgetRatio = 1.0
	shedBurst       = 20
)

// serve makes attempts until one gets a response for the caller or no further attempt is
// allowed.
func (p *Proxy) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, snap *model.Snapshot, cl *call, out *Outcome) {
	state := p.serviceState(cl.service.Name)
	regions := p.candidateRegions(snap, cl, state)
	if cl.service.Routed && !p.shouldHandOver(cl) {
		state.budget.Deposit(cl.service.RetryBudget)
	}
	var last *verdict.Error
	sheds, mustWait := 0, false
	for {
		if reply := p.refreshConfig(r, cl); reply != nil {
			p.reply(w, r, cl.body, out, reply.withOutcome(last, cl.outcome))
			return
		}
		p.awaitBody(w, cl, state)
		if p.shouldHandOver(cl) && !p.tooLate(cl, state) {
			if !p.handOver(ctx, w, r, cl, state, out) {
				p.reply(w, r, cl.body, out, isolatedReply().withOutcome(last, cl.outcome))
			}
			return
		}
		choice, err := p.acquire(ctx, cl, state, regions, mustWait)
		if err != nil && err.Reason == reasonReconsider {
			continue
		}
		if err != nil && err.Reason == reasonLeaving {
			p.reply(w, r, cl.body, out, p.unavailable(snap).withOutcome(last, cl.outcome))
			return
		}
		if err != nil {
			if last == nil || err.Verdict == verdict.MayHaveRun {
				last = err
			}
			break
		}
		p.recordAdmitted(cl)
		choice, res, err := p.sendHedged(ctx, r, cl, state, choice, out)
		out.Choice = choice
		p.recordAlive(choice, res)
		p.recordForRollout(cl, choice, res, err)
		if err != nil && err.Reason == ReasonShed && !cl.service.Routed && sheds < maxSheds {
			sheds++
			last = err
			cl.outcome = verdict.Join(cl.outcome, err.Verdict)
			mustWait = !state.shedBudget.TryWithdraw()
			p.release(state, choice, reportFor(res, err))
			continue
		}
		if err != nil && err.Reason == reasonWithdrawn {
			last = err
			p.release(state, choice, reportFor(res, err))
			continue
		}
		out.Attempts++
		if err == nil && (!retryableResponse(cl, res, out.Attempts) || p.tooLate(cl, state)) {
			p.deliver(w, state, cl, choice, res, out)
			return
		}
		if err == nil {
			err = retryableError(res)
		}
		// An idle upstream that shed the request is tried again, because the object is cold
		// at the other upstreams. Only the last attempt goes to another upstream.
		held := p.recordBroken(ctx, cl, choice, err)
		result := p.release(state, choice, reportFor(res, err))
		if lastAttempt := out.Attempts == cl.attempts-1; result != balance.ShedIdle || lastAttempt {
			cl.tried = append(cl.tried, choice.ID)
		}
		regions = cl.reorderRegions(err, choice.Region, regions)
		cl.outcome = verdict.Join(cl.outcome, err.Verdict)
		last = err
		if held || !p.mayRetry(ctx, cl, state, err, out.Attempts) {
			break
		}
	}
	if p.mayHandOver(ctx, cl, state, last) && p.handOver(ctx, w, r, cl, state, out) {
		return
	}
	reply := replyFor(last, cl.outcome)
	if last.Reason == ReasonShed || last.Reason == reasonWithdrawn {
		reply.retryAfter = p.spreadRetryAfter(state.balancer.UntilAccepted(p.now(), cl.allows))
	}
	if last.Reason != reasonOverFairShare {
		reply.retryAfter = max(reply.retryAfter, state.retryAfter(regions[0]))
	}
	p.reply(w, r, cl.body, out, reply)
}

// mayRetry reports whether a failed attempt may be followed by another. That depends on its
// verdict, the number of attempts, the deadline and the retry budget.
func (p *Proxy) mayRetry(ctx context.Context, cl *call, state *serviceState, err *verdict.Error, attempts int) bool {
	if ctx.Err() != nil || attempts >= cl.attempts {
		return false
	}
	if err.Verdict != verdict.NotRun && !cl.Idempotent {
		return false
	}
	return state.budget.TryWithdraw()
}

// retryableResponse reports whether a response to an idempotent request should be replaced by a
// retry rather than delivered.
func retryableResponse(cl *call, res *upstreamResponse, attempts int) bool {
	if !cl.Idempotent || attempts >= cl.attempts {
		return false
	}
	switch res.resp.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func retryableError(res *upstreamResponse) *verdict.Error {
	discard(res.resp)
	res.release()
	return verdict.New(verdict.Ran, reasonBroken, errors.New("upstream answered "+res.resp.Status))
}

// reportFor returns the balancer's report about a failed attempt. res is the response of the
// attempt, or nil.
func reportFor(res *upstreamResponse, err *verdict.Error) balance.DoneInfo {
	r := balance.DoneInfo{Result: balance.Failed}
	if res != nil {
		r.Observation = res.observed
	}
	switch err.Reason {
	case ReasonShed, ReasonUnattributed:
		r.Result = balance.Shed
	case ReasonUnproven:
		r.Result, r.ServerError = balance.OK, true
	case reasonUnreachable, ReasonReplaced:
		r.Result = balance.Unreachable
	case reasonCallerGone, reasonNotRepeatable, reasonCallerBody, reasonTooLarge, reasonWithdrawn:
		r.Result = balance.Abandoned
	}
	return r
}

// release reports an attempt to the balancer, which frees the upstream's slot, and wakes the
// queue. It returns the result as the balancer counts it.
func (p *Proxy) release(state *serviceState, choice balance.Choice, r balance.DoneInfo) balance.Result {
	result := state.balancer.Done(p.now(), choice, r)
	state.queue.Wake()
	p.wakeOrdered(state)
	return result
}

// okReport returns the balancer's report about an attempt with a complete response.
func okReport(cl *call, res *upstreamResponse) balance.DoneInfo {
	return balance.DoneInfo{
		Result:      balance.OK,
		Observation: res.observed,
		ServerError: res.resp.StatusCode >= http.StatusInternalServerError,
		Bytes:       max(0, cl.body.length) + max(int64(len(res.body)), res.resp.ContentLength),
		ConnectTime: res.connectTime,
	}
}

// deliver sends the response to the caller. The upstream's slot is freed before that for a
// buffered response, and after the last byte for a streamed one. If the body breaks off,
// deliver aborts the caller's connection, so that the caller does not take the part for the
// whole body.
func (p *Proxy) deliver(w http.ResponseWriter, state *serviceState, cl *call, choice balance.Choice, res *upstreamResponse, out *Outcome) {
	defer res.release()
	report := okReport(cl, res)
	if res.buffered {
		p.release(state, choice, report)
	}
	if out.HandoverFrom != "" {
		// An entry that handed the request over takes a response with this header for this entry's.
		res.resp.Header.Del(verdict.Header)
	}
	_, err := res.writeTo(w, p.opt.Protocol, cl)
	if err != nil {
		report.Result = balance.Abandoned
	}
	if !res.buffered {
		p.release(state, choice, report)
	}
	p.finishDelivery(cl, res, out, choice.ID, err)
	if !cl.service.Routed {
		state.budget.Deposit(cl.service.RetryBudget)
	}
	state.shedBudget.Deposit(shedBudgetRatio)
}

// finishDelivery records a response that was sent to the caller; err is the error of sending it. On
// an error it aborts the caller's connection.
func (p *Proxy) finishDelivery(cl *call, res *upstreamResponse, out *Outcome, from string, err error) {
	out.Status, out.Verdict, out.Response = res.resp.StatusCode, verdict.Ran, res.info
	if err != nil {
		out.Reason = reasonBroken
		klog.InfoS("response body broke off", "request", cl.ID, "from", from, "err", err)
		panic(http.ErrAbortHandler)
	}
	p.recordResponse(cl)
}

// candidateRegions returns the regions to try, in order: the target of a move, the own region,
// then the regions for overflow.
func (p *Proxy) candidateRegions(snap *model.Snapshot, cl *call, state *serviceState) []string {
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
	to := state.shift.Decide(shift.Input{
		Now:              p.now(),
		Moves:            moves,
		MaxShare:         cl.service.ShiftCap,
		MaxGainPerMinute: cl.service.ShiftRate,
		LastReport:       state.balancer.LastReport,
	})
	if to == "" {
		return order
	}
	return append([]string{to}, order...)
}
