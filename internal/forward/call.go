package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/admit"
	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/poison"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// call is the state of one caller's request.
type call struct {
	RequestInfo
	service  *model.Service
	start    time.Time
	deadline time.Time
	// configVersion is the revision of the configuration that allows was derived from.
	configVersion uint64
	// allows reports whether a region may serve the request; nil for a request without a route.
	allows func(region string) bool
	// charged is set while the request counts against its organisation's limit and no upstream
	// may have run it since it was counted.
	charged bool
	// admitted is set once the request has got a slot of an upstream.
	admitted bool
	// passedGate is set once the gate has admitted the request to its service's room.
	passedGate bool
	// attempts is the largest number of attempts for the request.
	attempts int
	priority int
	// rank is the priority of a request with a route, 0 being the most urgent.
	rank int
	// arrivalCounted is set once the request has been counted as one that wants room at the upstreams.
	arrivalCounted bool
	// waited is set while the call asks again because the configuration changed while it waited.
	waited bool
	// ordered is set if the call waits in order for an upstream.
	ordered bool
	// reserved is the part of the places at upstreams that the request leaves to more urgent ones.
	reserved float64
	// crowded is set if requests for the service wait.
	crowded bool
	// patient is set while the request waits and can still meet its objective.
	patient bool
	// callerGone is closed when the caller leaves.
	callerGone <-chan struct{}
	body       *replayBody
	// writer is where the response goes.
	writer http.ResponseWriter
	// needsLength is set if the caller's version of HTTP has no chunks, so that a response without a length
	// would end with the connection, also one that broke off.
	needsLength bool
	// tried holds the IDs of upstreams that must not get the request again.
	tried []string
	// headKeys are the request's poison keys without the body.
	headKeys poison.Keys
	// inFlightKeys are the poison keys under which the request counts as in flight; nil if it
	// does not count.
	inFlightKeys *poison.Keys
	// failedRegion is the region of the last failed attempt.
	failedRegion string
	// handover says which entry handed the request over to this one; nil if none did.
	handover *handover
	// outcome joins the verdicts of the attempts so far, and evidence is what those that are NotRun rest on.
	outcome  verdict.Verdict
	evidence []Evidence
}

// newCall returns the call for a request to svc. Limits of the request's route take precedence
// over those of the service.
func newCall(w http.ResponseWriter, r *http.Request, info RequestInfo, svc *model.Service, memory *buffers, now time.Time) *call {
	c := &call{
		RequestInfo: info,
		writer:      w,
		needsLength: !r.ProtoAtLeast(1, 1) && r.Method != http.MethodHead,
		service:     svc,
		start:       now,
		attempts:    svc.Attempts,
		priority:    svc.Priority,
		body:        newReplayBody(r, memory),
		outcome:     verdict.NotRun,
		headKeys:    headKeysOf(r, &info),
		callerGone:  r.Context().Done(),
	}
	maxTimeout := svc.Deadline
	if info.Route != nil {
		c.attempts = info.Route.Attempts
		c.allows = info.allows
		c.setRank(priorityOf(&info))
		maxTimeout = info.Route.Timeout
	}
	c.deadline = now.Add(minTimeout(info.Timeout, maxTimeout))
	return c
}

// setRank sets the priority of a request with a route.
func (c *call) setRank(rank int) { c.rank, c.priority = rank, admit.PriorityOf(rank) }

// applyHandover applies what the entry says that handed the request over; nil means that none did.
func (c *call) applyHandover(o *handover) {
	c.handover = o
	if o != nil && o.Attempts > 0 {
		c.attempts = min(c.attempts, o.Attempts)
	}
}

// priorityOf returns the priority of a request with a route; 0 is the most urgent.
func priorityOf(info *RequestInfo) int {
	if o := info.Organisation; o != nil && o.Priority != model.PriorityFromRoute {
		return o.Priority
	}
	return info.Route.Priority
}

// headKeysOf returns the poison keys of a request without its body. Callers are distinguished
// by IP address.
func headKeysOf(r *http.Request, info *RequestInfo) poison.Keys {
	req := poison.Request{
		Method: r.Method, Host: r.Host, Target: r.RequestURI, Object: info.Object, Caller: callerIP(r), Length: r.ContentLength,
	}
	return req.HeadKeys()
}

// keys returns the poison keys of the request. It returns false if the beginning of the body
// cannot be read before ctx ends.
func (c *call) keys(ctx context.Context) (poison.Keys, bool) {
	prefix, ok := c.body.peekPrefix(ctx)
	return c.headKeys.WithBody(prefix), ok
}

// defaultTimeout is the time limit of a request for which neither the caller nor the
// configuration sets one.
const defaultTimeout = time.Minute

// minTimeout returns the smaller of two timeouts, where 0 means none.
func minTimeout(a, b time.Duration) time.Duration {
	switch {
	case a <= 0 && b <= 0:
		return defaultTimeout
	case a <= 0:
		return b
	case b <= 0:
		return a
	}
	return min(a, b)
}

// objectRequest returns the balancer's request for a call with a route.
func (c *call) objectRequest() balance.ObjectRequest {
	req := balance.ObjectRequest{Class: c.Route.Name, Objective: c.Route.Objective, Regions: c.allows, Tried: c.tried, Ordered: c.ordered, Reserved: c.reserved, Crowded: c.crowded, Patient: c.patient}
	if c.Route.Affinity && c.Object != "" {
		req.Object = balance.HashObject(c.Route.Name, c.Object)
	} else {
		req.Object = balance.HashObject(c.Route.Name, c.ID)
		req.NoAffinity = true
	}
	return req
}

// reorderRegions returns the regions for the next attempt. A region in which two attempts in a
// row failed is moved to the end; sheds do not count as failures.
func (c *call) reorderRegions(err *verdict.Error, region string, regions []string) []string {
	if err.Reason == ReasonShed {
		return regions
	}
	if c.failedRegion != region {
		c.failedRegion = region
		return regions
	}
	others := slices.DeleteFunc(slices.Clone(regions), func(r string) bool { return r == region })
	return append(others, region)
}
