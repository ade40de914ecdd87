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
)

// serve runs attempts until one is answered or none may follow.
func (c *Proxy) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, snap *model.Snapshot, cl *call, out *Outcome) {
	l := c.lane(cl.service.Name)
	regions := c.regions(snap, cl, l)
	if cl.service.Routed {
		l.budget.Deposit(cl.service.RetryBudget)
	}
	var last *verdict.Error
	sheds, patient := 0, false
	for {
		if f := c.rebind(r, cl); f != nil {
			c.refuse(w, out, f.after(last, cl.outcome))
			return
		}
		choice, err := c.take(ctx, cl, l, regions, patient)
		if err != nil {
			if last == nil || err.Verdict == verdict.MayHaveRun {
				last = err
			}
			break
		}
		out.Choice = choice
		ans, err := c.send(ctx, r, cl, choice)
		c.noteAlive(choice, ans)
		if err != nil && err.Reason == ReasonShed && !cl.service.Routed && sheds < maxSheds {
			sheds++
			last = err
			patient = !l.sheds.TryWithdraw()
			c.done(l, choice, reportFor(ans, err))
			continue
		}
		out.Attempts++
		if err == nil && !retryableAnswer(cl, ans, out.Attempts) {
			c.deliver(w, l, cl, choice, ans, out)
			return
		}
		if err == nil {
			err = brokenAnswer(ans)
		}
		// One that refused although it is idle is asked again, as the object is cold
		// elsewhere; the last attempt goes elsewhere.
		ends := c.noteBroken(ctx, cl, choice, err)
		result := c.done(l, choice, reportFor(ans, err))
		if lastLeft := out.Attempts == cl.attempts-1; result != balance.ShedIdle || lastLeft {
			cl.tried = append(cl.tried, choice.ID)
		}
		regions = cl.after(err, choice.Region, regions)
		cl.outcome = verdict.Join(cl.outcome, err.Verdict)
		last = err
		if ends || !c.mayRetry(ctx, cl, l, err, out.Attempts) {
			break
		}
	}
	f := refusalFor(last, cl.outcome)
	f.retryAfter = max(f.retryAfter, l.retryAfter(regions[0]))
	c.refuse(w, out, f)
}

// mayRetry decides whether a failed attempt is followed by another: only by its
// verdict, within the attempts, the deadline and the budget.
func (c *Proxy) mayRetry(ctx context.Context, cl *call, l *lane, err *verdict.Error, attempts int) bool {
	if ctx.Err() != nil || attempts >= cl.attempts {
		return false
	}
	if err.Verdict != verdict.NotRun && !cl.Safe {
		return false
	}
	return l.budget.TryWithdraw()
}

// retryableAnswer reports whether an answer to a safe request should be tried
// elsewhere rather than delivered.
func retryableAnswer(cl *call, a *answer, attempts int) bool {
	if !cl.Safe || attempts >= cl.attempts {
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

// reportFor tells the balancer how a failed attempt reflects on its upstream. The
// answer is that of the attempt, or nil.
func reportFor(ans *answer, err *verdict.Error) balance.DoneInfo {
	r := balance.DoneInfo{Result: balance.Failed, Load: -1, Waiting: -1}
	if ans != nil {
		r.Load, r.Waiting = ans.told.Load, ans.told.Waiting
	}
	switch err.Reason {
	case ReasonShed:
		r.Result = balance.Shed
	case reasonUnreachable, ReasonReplaced:
		r.Result = balance.Unreachable
	case reasonCallerGone, reasonBodyUsed, reasonCallerBody, reasonTooLarge:
		r.Result = balance.Abandoned
	}
	return r
}

// done frees an upstream's slot and gives the next in the queue a turn. It returns the
// result as it counts.
func (c *Proxy) done(l *lane, choice balance.Choice, r balance.DoneInfo) balance.Result {
	result := l.group.Done(c.now(), choice, r)
	l.queue.Wake()
	return result
}

// deliver sends the answer and frees the slot when it has gone out whole.
func (c *Proxy) deliver(w http.ResponseWriter, l *lane, cl *call, choice balance.Choice, a *answer, out *Outcome) {
	report := balance.DoneInfo{Result: balance.OK, Load: a.told.Load, Waiting: a.told.Waiting, Draining: a.told.Draining, ConnectTime: a.connect}
	report.ServerError = a.resp.StatusCode >= http.StatusInternalServerError
	report.Bytes = max(0, cl.body.length) + max(int64(len(a.whole)), a.resp.ContentLength)
	if a.read {
		c.done(l, choice, report)
	}
	_, err := a.deliver(w, c.opt.Protocol, &cl.RequestInfo)
	if err != nil {
		report.Result = balance.Abandoned
	}
	if !a.read {
		c.done(l, choice, report)
	}
	if err == nil {
		c.noteAnswered(cl)
	}
	out.Status, out.Verdict, out.Response = a.resp.StatusCode, verdict.Ran, a.told
	if err != nil {
		out.Reason = reasonBroken
		klog.InfoS("answer broke off", "request", cl.ID, "upstream", choice.ID, "err", err)
		panic(http.ErrAbortHandler)
	}
	if !cl.service.Routed {
		l.budget.Deposit(cl.service.RetryBudget)
	}
	l.sheds.Deposit(shedShare)
}

// regions returns the regions to try, in order: the one that a move names, the
// own, then those for overflow.
func (c *Proxy) regions(snap *model.Snapshot, cl *call, l *lane) []string {
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
		Now:              c.now(),
		Moves:            moves,
		MaxShare:         cl.service.ShiftCap,
		MaxGainPerMinute: cl.service.ShiftRate,
		LastReport:       l.group.LastReport,
	})
	if to == "" {
		return order
	}
	return append([]string{to}, order...)
}
