package forward

import (
	"context"
	"net/http"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// reasonOverOrganisationLimit means that the request's organisation has reached its limit.
const reasonOverOrganisationLimit = "over-limit"

// takeOrganisationLimit counts a request against the limit of its organisation, or returns the
// response to reject it. refundOrganisationLimit undoes the counting if the request is rejected
// later or no upstream runs it.
func (p *Proxy) takeOrganisationLimit(cl *call) *localReply {
	if cl.Organisation == nil {
		return nil
	}
	ok, retryAfter := p.organisationLimits.Take(cl.Organisation.Name, p.now())
	if ok {
		cl.charged = true
		return nil
	}
	return &localReply{status: http.StatusTooManyRequests, reason: reasonOverOrganisationLimit, verdict: verdict.NotRun, retryAfter: retryAfter}
}

// refundOrganisationLimit undoes the counting of a request that has not run.
func (p *Proxy) refundOrganisationLimit(cl *call) {
	if cl.charged {
		p.organisationLimits.Refund(cl.Organisation.Name, p.now())
	}
}

// chargeOrganisation counts an attempt against the organisation's limit, unless the request is
// counted already. A retry after an attempt that may have run counts again, because the request
// may run twice.
func (p *Proxy) chargeOrganisation(cl *call) {
	if cl.Organisation != nil && !cl.charged {
		p.organisationLimits.Charge(cl.Organisation.Name, p.now())
		cl.charged = true
	}
}

// recordRun makes the count final if the attempt may have run: refundOrganisationLimit then
// does not undo it.
func (c *call) recordRun(err *verdict.Error) {
	if err == nil || err.Verdict != verdict.NotRun {
		c.charged = false
	}
}

// refreshConfig applies the configuration in force to the next attempt: the regions that it
// allows, and the organisation that the request's key now belongs to. The configuration may
// have changed since the request arrived, for example while its body was awaited or an attempt
// was in progress. It returns a rejection if the key has been revoked, so that the request is
// not sent again. A request whose route has been removed keeps the route that it arrived with.
func (p *Proxy) refreshConfig(r *http.Request, cl *call) *localReply {
	snap := p.snap.Load()
	if cl.Route == nil || snap.Revision == cl.configVersion {
		return nil
	}
	cl.configVersion = snap.Revision
	info, reqErr := p.opt.Protocol.ParseRequest(r, snap)
	if reqErr != nil && reqErr.Status == http.StatusUnauthorized {
		return reqErr.localReply()
	}
	if reqErr != nil || info.Route == nil {
		return nil
	}
	p.refundOrganisationLimit(cl)
	wasCharged := cl.charged
	cl.charged, cl.Organisation = false, info.Organisation
	if wasCharged {
		p.chargeOrganisation(cl)
	}
	cl.allows = info.allows
	cl.setRank(priorityOf(&info))
	return nil
}

// send makes one attempt and counts it against the organisation's limit.
func (p *Proxy) send(ctx context.Context, r *http.Request, cl *call, to balance.Choice) (*upstreamResponse, *verdict.Error) {
	p.chargeOrganisation(cl)
	res, err := p.attempt(ctx, r, cl, to)
	cl.recordRun(err)
	return res, err
}
