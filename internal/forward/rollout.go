package forward

import (
	"net/http"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/rollout"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// slowFactor is how many times as long as expected an answer must take to count as bad in a
// rollout.
const slowFactor = 3

// Rollouts returns the state of the running rollouts at this entry.
func (p *Proxy) Rollouts() *rollout.Tracker { return p.rollouts }

// OutstandingOutside returns the estimated number of requests at the upstreams of all versions of a
// service but one.
func (p *Proxy) OutstandingOutside(service, version string) int {
	return p.serviceState(service).balancer.OutstandingOutside(version)
}

// trafficOf returns the running rollouts of a snapshot by service.
func trafficOf(s *model.Snapshot) map[string]*rollout.Traffic {
	out := make(map[string]*rollout.Traffic)
	for name, svc := range s.Services {
		if svc.Rollout != nil {
			out[name] = svc.Rollout
		}
	}
	return out
}

// rolloutOf returns the rollout of a service by the snapshot in force, which may be newer than that
// of a request in progress; nil if there is none.
func (p *Proxy) rolloutOf(service string) *rollout.Traffic {
	if svc := p.snap.Load().Services[service]; svc != nil {
		return svc.Rollout
	}
	return nil
}

// pickObject picks an upstream for the call's object. During a rollout only the first attempt may
// go to the new version, and the others go to upstreams of other versions while there are any
// that can take them.
func (p *Proxy) pickObject(now time.Time, cl *call, state *serviceState) (balance.Choice, error) {
	req := cl.objectRequest()
	req.NoTrial = len(cl.tried)+1 >= cl.attempts || !state.budget.HasRetry()
	traffic := p.rolloutOf(cl.service.Name)
	if traffic == nil || traffic.Stage == rollout.Switch {
		return state.balancer.PickObject(now, req)
	}
	req.Upstreams = func(u *model.Upstream) bool { return u.Version == traffic.Version }
	if len(cl.tried) == 0 && p.rollouts.Choose(traffic, cl.Route.Name, req.Object) {
		choice, err := state.balancer.PickObject(now, req)
		if err == nil {
			return choice, nil
		}
		p.rollouts.Refund(traffic, cl.Route.Name)
	}
	req.Upstreams = func(u *model.Upstream) bool { return u.Version != traffic.Version }
	return state.balancer.PickObject(now, req)
}

// recordForRollout counts the answer of an upstream, if its service is in a rollout. One with a refusal
// that it does not prove is bad, since the caller gets an error in its place. Of requests
// without an answer only those count for which it took too long: connections break for reasons
// that do not depend on the upstream's version. While none answers this entry, a timeout may be the
// fault of its links.
func (p *Proxy) recordForRollout(cl *call, choice balance.Choice, res *upstreamResponse, err *verdict.Error) {
	traffic := p.rolloutOf(cl.service.Name)
	if traffic == nil || cl.Route == nil {
		return
	}
	var bad bool
	switch {
	case res != nil && res.resp != nil:
		failed := res.resp.StatusCode >= http.StatusInternalServerError
		bad = failed || isSlow(choice, p.now().Sub(choice.SendAt), cl.Route.Objective)
	case err != nil && err.Reason == ReasonUnproven:
		bad = true
	case err != nil && err.Reason == reasonTimeout && !p.failuresSuspect():
		bad = true
	default:
		return
	}
	p.rollouts.Record(traffic, rollout.Answer{Route: cl.Route.Name, Version: choice.Version, Upstream: choice.ID, Bad: bad})
}

// isSlow reports whether an answer took several times as long as expected. An upstream that has not
// served the object yet may take longer than the expected time, which is mostly that of others.
func isSlow(c balance.Choice, took, objective time.Duration) bool {
	expected := c.ExpectedLatency
	if !c.Warm {
		expected = max(expected, objective)
	}
	return expected > 0 && took > slowFactor*expected
}
