package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/rollout"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// HedgeCounts counts requests whose first upstream did not answer in its usual time.
type HedgeCounts struct {
	// Sent counts those that were sent to a second upstream, and Won those of them that the second
	// answered first.
	Sent int64 `json:"sent"`
	Won  int64 `json:"won"`
	// NoBudget counts those for which the retry budget had nothing left, and NoReplica those for which no
	// other replica was expected to answer in time, or the service had too little room.
	NoBudget  int64 `json:"no_budget"`
	NoReplica int64 `json:"no_replica"`
}

// What became of a second send.
const (
	secondWon  = "won"
	secondLost = "lost"
)

// hedgeCounters are the counters behind HedgeCounts.
type hedgeCounters struct{ sent, won, noBudget, noReplica atomic.Int64 }

func (c *hedgeCounters) counts() HedgeCounts {
	return HedgeCounts{Sent: c.sent.Load(), Won: c.won.Load(), NoBudget: c.noBudget.Load(), NoReplica: c.noReplica.Load()}
}

// sending is an attempt in progress. res and err are valid once done is closed.
type sending struct {
	choice balance.Choice
	cancel context.CancelFunc
	done   chan struct{}
	res    *upstreamResponse
	err    *verdict.Error
}

// attemptContext is the context of one of two attempts. It ends with that of the request, and then for the
// same reason.
type attemptContext struct {
	context.Context
	request context.Context
}

// Err implements context.Context.
func (c attemptContext) Err() error {
	if err := c.request.Err(); err != nil {
		return err
	}
	return c.Context.Err()
}

// startAttempt makes an attempt in a goroutine. The context of the attempt ends with ctx.
func (p *Proxy) startAttempt(ctx context.Context, r *http.Request, cl *call, to balance.Choice) *sending {
	s := &sending{choice: to, done: make(chan struct{})}
	own, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	go func() {
		defer close(s.done)
		s.res, s.err = p.attempt(attemptContext{own, ctx}, r, cl, to)
	}()
	return s
}

// sendHedged makes one attempt, and a second one at another upstream if the first takes much longer than
// usual. It returns the one that decides what happens to the request: the first complete response, or the
// failure that came last. The other one is cancelled and settled.
func (p *Proxy) sendHedged(ctx context.Context, r *http.Request, cl *call, state *serviceState, choice balance.Choice, out *Outcome) (balance.Choice, *upstreamResponse, *verdict.Error) {
	after := p.hedgeAfter(cl, state, choice, out.Attempts)
	if after <= 0 {
		res, err := p.send(ctx, r, cl, choice)
		return choice, res, err
	}
	p.chargeOrganisation(cl)
	first := p.startAttempt(ctx, r, cl, choice)
	winner, loser := first, p.hedge(ctx, r, cl, state, first, after)
	if loser != nil {
		winner, loser = race(cl, first, loser)
		p.settleLoser(ctx, cl, state, loser, out)
		out.SecondSend = secondLost
		if winner != first && winner.err == nil {
			out.SecondSend = secondWon
			state.hedges.won.Add(1)
		}
	}
	cl.recordRun(winner.err)
	return winner.choice, winner.res, winner.err
}

// hedge waits for an attempt and starts a second one if the first takes longer than after. It returns nil
// if there is no second one; the first has then ended.
func (p *Proxy) hedge(ctx context.Context, r *http.Request, cl *call, state *serviceState, first *sending, after time.Duration) *sending {
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-first.done:
		return nil
	case <-timer.C:
	}
	second, ok := p.pickHedge(cl, state, first.choice)
	if !ok {
		<-first.done
		return nil
	}
	return p.startAttempt(ctx, r, cl, second)
}

// hedgeAfter returns the time after which a call is sent to a second upstream; 0 if never. Only a call
// that may run twice and whose body can be sent again at any moment may be, and only if another attempt
// is allowed. During a rollout the versions of an attempt are chosen otherwise.
func (p *Proxy) hedgeAfter(cl *call, state *serviceState, choice balance.Choice, attempts int) time.Duration {
	if !cl.Idempotent || cl.Route == nil || attempts+2 > cl.attempts || cl.body.length != 0 {
		return 0
	}
	if t := p.rolloutOf(cl.service.Name); t != nil && t.Stage != rollout.Switch {
		return 0
	}
	return state.balancer.HedgeAfter(choice, cl.Route.Objective-choice.SendAt.Sub(cl.start))
}

// pickHedge picks the upstream for a second send within the retry budget. The second answer must meet the
// objective of the call.
func (p *Proxy) pickHedge(cl *call, state *serviceState, first balance.Choice) (balance.Choice, bool) {
	now := p.now()
	if !state.budget.HasSpareRetry() {
		state.hedges.noBudget.Add(1)
		return balance.Choice{}, false
	}
	choice, ok := state.balancer.PickHedge(now, cl.objectRequest(), first, cl.Route.Objective-now.Sub(cl.start))
	if ok && p.tooLateAt(cl, state.balancer, choice) {
		p.release(state, choice, balance.DoneInfo{Result: balance.Abandoned})
		ok = false
	}
	switch {
	case !ok:
		state.hedges.noReplica.Add(1)
		return balance.Choice{}, false
	case !state.budget.TryWithdraw():
		p.release(state, choice, balance.DoneInfo{Result: balance.Abandoned})
		state.hedges.noBudget.Add(1)
		return balance.Choice{}, false
	}
	state.hedges.sent.Add(1)
	return choice, true
}

// race waits until one of two attempts has a response for the caller or both have failed. It returns the
// one that decides, and the other.
func race(cl *call, x, y *sending) (winner, loser *sending) {
	select {
	case <-x.done:
	case <-y.done:
		x, y = y, x
	}
	if x.final(cl) {
		return x, y
	}
	<-y.done
	return y, x
}

// final reports whether an attempt that has ended has a response for the caller.
func (s *sending) final(cl *call) bool {
	return s.err == nil && !retryableResponse(cl, s.res, 0)
}

// settleLoser cancels an attempt, waits for its end, which follows at once, and reports it to the
// balancer and the detectors.
func (p *Proxy) settleLoser(ctx context.Context, cl *call, state *serviceState, s *sending, out *Outcome) {
	s.cancel()
	<-s.done
	out.Attempts++
	cl.tried = append(cl.tried, s.choice.ID)
	cl.recordRun(s.err)
	p.recordAlive(s.choice, s.res)
	p.recordForRollout(cl, s.choice, s.res, s.err)
	if s.err == nil && s.final(cl) {
		report := okReport(cl, s.res)
		discard(s.res.resp)
		s.res.release()
		p.release(state, s.choice, report)
		return
	}
	err := s.err
	if err == nil {
		err = retryableError(s.res)
	}
	report := reportFor(s.res, err)
	if ctx.Err() == nil && (err.Reason == reasonCallerGone || err.Reason == reasonTimeout) {
		report.Result = balance.Outrun
	}
	p.recordBroken(ctx, cl, s.choice, err)
	p.release(state, s.choice, report)
	cl.outcome = verdict.Join(cl.outcome, err.Verdict)
}

// HedgeCounts returns the counts of second sends of all services.
func (p *Proxy) HedgeCounts() map[string]HedgeCounts {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make(map[string]HedgeCounts, len(p.services))
	for name, state := range p.services {
		out[name] = state.hedges.counts()
	}
	return out
}
