package forward

import (
	"context"
	"net/http"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// reasonOverLimit means that the organisation has as many requests as it may.
const reasonOverLimit = "over-limit"

// spendLimit takes a request out of its organisation's limit, or returns the refusal. A request
// that is refused later or that no upstream runs is given back by refundLimit.
func (c *Proxy) spendLimit(cl *call) *refusal {
	if cl.Organisation == nil {
		return nil
	}
	ok, retryAfter := c.limits.Take(cl.Organisation.Name, c.now())
	if ok {
		cl.paid = true
		return nil
	}
	return &refusal{status: http.StatusTooManyRequests, reason: reasonOverLimit, verdict: verdict.NotRun, retryAfter: retryAfter}
}

// refundLimit gives back what a request was let through for if it has not run.
func (c *Proxy) refundLimit(cl *call) {
	if cl.paid {
		c.limits.Refund(cl.Organisation.Name, c.now())
	}
}

// charge counts an attempt against the limit. A further one may be a second run.
func (c *Proxy) charge(cl *call) {
	if cl.Organisation != nil && !cl.paid {
		c.limits.Charge(cl.Organisation.Name, c.now())
		cl.paid = true
	}
}

// noteRun records whether an attempt may have run, and so has used what it was let
// through for.
func (cl *call) noteRun(err *verdict.Error) {
	if err == nil || err.Verdict != verdict.NotRun {
		cl.paid = false
	}
}

// rebind binds the next attempt to the configuration in force: to the regions that it
// allows, and to the organisation that holds the key now. The request may have come under
// another configuration some time ago: it may have waited for its body, or an attempt may
// have broken off late. It is not sent, nor sent again, once its key was taken away. A
// request whose route is gone keeps the one that it came under.
func (c *Proxy) rebind(r *http.Request, cl *call) *refusal {
	snap := c.snap.Load()
	if cl.Route == nil || snap.Revision == cl.version {
		return nil
	}
	cl.version = snap.Revision
	ask, fault := c.opt.Protocol.ParseRequest(r, snap)
	if fault != nil && fault.Status == http.StatusUnauthorized {
		return fault.refusal()
	}
	if fault != nil || ask.Route == nil {
		return nil
	}
	c.refundLimit(cl)
	wasPaid := cl.paid
	cl.paid, cl.Organisation = false, ask.Organisation
	if wasPaid {
		c.charge(cl)
	}
	cl.allows = ask.allows
	return nil
}

// send makes one attempt and counts it against the organisation's limit.
func (c *Proxy) send(ctx context.Context, r *http.Request, cl *call, to balance.Choice) (*answer, *verdict.Error) {
	c.charge(cl)
	ans, err := c.attempt(ctx, r, cl, to)
	cl.noteRun(err)
	return ans, err
}
