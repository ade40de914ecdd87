package forward

import (
	"net/http"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// Protocol is how callers and upstreams say in HTTP headers what the Carrier
// decides by. Native is the project's own; an adapter for a platform brings
// another. Implementations are safe for concurrent use.
type Protocol interface {
	// ParseRequest reads what a caller asks for.
	ParseRequest(r *http.Request, snap *model.Snapshot) (RequestInfo, *RequestError)
	// SetRequestHeaders writes on a request what its upstream has to know. The header is a
	// copy of the caller's.
	SetRequestHeaders(h http.Header, ask *RequestInfo, to *model.Upstream, left time.Duration)
	// ParseResponse tells what an answer says. It may not read the body.
	ParseResponse(resp *http.Response, ask *RequestInfo, svc *model.Service) ResponseInfo
	// SetResponseHeaders prepares the header of an upstream's answer for the caller.
	SetResponseHeaders(h http.Header, ask *RequestInfo)
	// SetErrorHeaders prepares the header of an answer that the Carrier itself makes.
	SetErrorHeaders(h http.Header, id string, v verdict.Verdict, retryAfter time.Duration)
	// Matches reports whether an answer belongs to a request. One that does not is
	// a surplus answer to an earlier request on the same connection.
	Matches(resp *http.Response, req *http.Request) bool
}

// RequestInfo is what a caller asks for.
type RequestInfo struct {
	// ID is the request's id; empty if the caller gave none.
	ID string
	// Service is the service that the request names; unused if there is a Route.
	Service string
	// Route is the request's route, or nil if the request names a service.
	Route *model.Route
	// Safe is set if the request may run more than once.
	Safe bool
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
	// Object is what the request is about; empty if it does not say.
	Object string
	// Organisation is whose request it is; nil if the configuration has no organisations.
	Organisation *model.Organisation
}

// allows reports whether a region may serve the request: its route and its organisation
// both have a say.
func (a *RequestInfo) allows(region string) bool {
	return a.Route.Allows(region) && a.Organisation.Allows(region)
}

// RequestError is a request that cannot be understood or has no service. It has not
// run.
type RequestError struct {
	Status int
	// Reason is a short stable word, Detail an explanation for a person.
	Reason, Detail string
}

// ResponseInfo is what an answer says of the request and of its upstream.
type ResponseInfo struct {
	// NotRunReason is empty, or the reason why the upstream did not run the request.
	NotRunReason string
	// InvalidReason is empty, or the reason why the answer must not be passed on.
	InvalidReason string
	// Load is the number of requests at the upstream, Waiting how many of them
	// wait; -1 if the answer does not say.
	Load, Waiting int
	// Rate is the limit that the upstream names, or that it names none.
	Rate balance.RateLimit
	// Draining is set if the upstream wants no new work.
	Draining bool
}

// Reasons of a Fault for want of a key.
const (
	ReasonNoKey      = "no-key"
	ReasonUnknownKey = "unknown-key"
)

// Reasons of Told.NotRun and Told.Broken.
const (
	// ReasonShed means that the upstream is full.
	ReasonShed = "upstream-shed"
	// ReasonReplaced means that another upstream has the address now.
	ReasonReplaced = "upstream-replaced"
	// ReasonMismatch means that an answer belongs to another request.
	ReasonMismatch = "answer-mismatch"
	// ReasonUnsigned means that an answer lacks its upstream's signature.
	ReasonUnsigned = "answer-unsigned"
)
