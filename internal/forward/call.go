package forward

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/admit"
	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/poison"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// call is one request of a caller.
type call struct {
	RequestInfo
	service  *model.Service
	began    time.Time
	deadline time.Time
	// version is that of the configuration by which allows was found.
	version uint64
	// allows reports whether a region may serve the request; nil if it has no route.
	allows func(region string) bool
	// paid is set while the request has been counted against its organisation's limit and
	// no upstream may have run it for that.
	paid bool
	// attempts is how many upstreams the request may be sent to.
	attempts int
	priority int
	body     *replayBody
	// tried holds the upstreams that the request must not be sent to again.
	tried []string
	// head names what the request is, without its body.
	head poison.Keys
	// counted are the keys by which the request is counted as under way; nil if it is not.
	counted *poison.Keys
	// failed is the region of the last failed attempt.
	failed string
	// outcome joins the verdicts of the attempts so far.
	outcome verdict.Verdict
}

// newCall returns the call of a request that asks for a service.
func newCall(r *http.Request, ask RequestInfo, svc *model.Service, now time.Time) *call {
	c := &call{
		RequestInfo: ask,
		service:     svc,
		began:       now,
		attempts:    svc.Attempts,
		priority:    svc.Priority,
		body:        newReplayBody(r),
		outcome:     verdict.NotRun,
		head:        headOf(r, &ask),
	}
	longest := svc.Deadline
	if ask.Route != nil {
		c.attempts = ask.Route.Attempts
		c.allows = ask.allows
		c.priority = admit.PriorityOf(rankOf(&ask))
		longest = ask.Route.Timeout
	}
	c.deadline = now.Add(shorter(ask.Timeout, longest))
	return c
}

// rankOf returns how urgent a request with a route is; 0 is the most urgent.
func rankOf(ask *RequestInfo) int {
	if o := ask.Organisation; o != nil && o.Priority != model.PriorityFromRoute {
		return o.Priority
	}
	return ask.Route.Priority
}

// headOf returns the keys of a request without its body. Its caller is told by address.
func headOf(r *http.Request, ask *RequestInfo) poison.Keys {
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		caller = r.RemoteAddr
	}
	req := poison.Request{
		Method: r.Method, Host: r.Host, Target: r.RequestURI, Object: ask.Object, Caller: caller, Length: r.ContentLength,
	}
	return req.HeadKeys()
}

// keys returns the keys of the request. It reports false if the beginning of its body
// does not come until ctx ends.
func (c *call) keys(ctx context.Context) (poison.Keys, bool) {
	prefix, ok := c.body.peek(ctx)
	return c.head.WithBody(prefix), ok
}

// unboundedDeadline is how long a request may take if neither the caller nor
// the configuration says.
const unboundedDeadline = time.Minute

// shorter returns the smaller of two bounds, of which 0 means none.
func shorter(a, b time.Duration) time.Duration {
	switch {
	case a <= 0 && b <= 0:
		return unboundedDeadline
	case a <= 0:
		return b
	case b <= 0:
		return a
	}
	return min(a, b)
}

// objectRequest is what the call asks of the balancer if it has a route.
func (c *call) objectRequest() balance.ObjectRequest {
	req := balance.ObjectRequest{Class: c.Route.Name, Objective: c.Route.Objective, Regions: c.allows, Tried: c.tried}
	if c.Route.Affinity && c.Object != "" {
		req.Object = balance.HashObject(c.Route.Name, c.Object)
	} else {
		req.Object = balance.HashObject(c.Route.Name, c.ID)
		req.NoAffinity = true
	}
	return req
}

// after returns the regions for the next attempt. One in which two attempts
// failed in a row goes last; a shed is no failure.
func (c *call) after(err *verdict.Error, region string, regions []string) []string {
	if err.Reason == ReasonShed {
		return regions
	}
	if c.failed != region {
		c.failed = region
		return regions
	}
	rest := slices.DeleteFunc(slices.Clone(regions), func(r string) bool { return r == region })
	return append(rest, region)
}
