package forward

import (
	"net/http"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// Protocol reads and writes the HTTP headers in which callers and upstreams exchange the
// information that a Proxy needs. Native is the project's own protocol; an adapter for a
// platform provides another. Implementations are safe for concurrent use.
type Protocol interface {
	// ParseRequest returns what a caller requests.
	ParseRequest(r *http.Request, snap *model.Snapshot) (RequestInfo, *RequestError)
	// SetRequestHeaders sets the headers of a request to an upstream. h is a copy of the
	// caller's headers, and left the time until the request's deadline.
	SetRequestHeaders(h http.Header, info *RequestInfo, to *model.Upstream, left time.Duration)
	// SetPeerHeaders sets the headers of a request that is handed over to another entry, which
	// parses it like a caller's. h is a copy of the caller's headers, and left the time until the
	// request's deadline.
	SetPeerHeaders(h http.Header, info *RequestInfo, left time.Duration)
	// SetProbeHeaders sets the headers of a request that any upstream answers without running
	// anything; self is the ID of this entry. It returns false if there is no such request.
	SetProbeHeaders(h http.Header, self string) bool
	// ParseResponse returns what an upstream's response says. It must not read the body.
	ParseResponse(resp *http.Response, info *RequestInfo, svc *model.Service) ResponseInfo
	// SetResponseHeaders prepares the headers of an upstream's response for the caller.
	SetResponseHeaders(h http.Header, info *RequestInfo)
	// SetErrorHeaders sets the headers of a response that the Proxy generates itself.
	SetErrorHeaders(h http.Header, id string, v verdict.Verdict, retryAfter time.Duration)
	// Matches reports whether a response belongs to a request. A response that does not is a
	// late response to an earlier request on the same connection.
	Matches(resp *http.Response, req *http.Request) bool
	// SentID returns the ID that the responses to a request carry, as Matches compares it; empty if
	// the request has none.
	SentID(req *http.Request) string
	// Identified reports whether a late copy of a response could be recognised by Matches.
	Identified(resp *http.Response) bool
}

// RequestInfo is what a caller requests.
type RequestInfo struct {
	// ID is the request ID; empty if the caller sent none.
	ID string
	// Service is the name of the requested service. It is not used if Route is set.
	Service string
	// Route is the request's route; nil if the request names a service.
	Route *model.Route
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Timeout is how long the caller waits; 0 if the request does not state it.
	Timeout time.Duration
	// Object identifies what the request acts on; empty if the request does not state it.
	// Requests for the same object are sent to the same upstreams where possible.
	Object string
	// Organisation is the organisation that the request belongs to; nil if the configuration
	// has no organisations.
	Organisation *model.Organisation
}

// allows reports whether both the route and the organisation allow a region to serve the
// request.
func (info *RequestInfo) allows(region string) bool {
	return info.Route.Allows(region) && info.Organisation.Allows(region)
}

// RequestError describes a request that cannot be parsed or has no service, route or valid key.
// No upstream has run it.
type RequestError struct {
	// Status is the HTTP status for the caller.
	Status int
	// Reason is a short, stable identifier, and Detail an explanation for people.
	Reason, Detail string
}

// ResponseInfo is what a response says about the request and about its upstream.
type ResponseInfo struct {
	// NotRunReason is the reason why the upstream did not run the request; empty if it ran it.
	NotRunReason string
	// Uncertain is set by the Proxy if the response may refuse an earlier request on the same connection
	// instead, so that this one may have run in spite of NotRunReason.
	Uncertain bool
	// Identified is set if the response names the request by its ID.
	Identified bool
	// InvalidReason is the reason why the response must not be passed on; empty if it is valid.
	InvalidReason string
	// Announcement is what the response says about its upstream. It is balance.NoAnnouncement for a
	// response of another upstream or to another request.
	balance.Announcement
}

// Values of RequestError.Reason for a missing or unknown key.
const (
	ReasonNoKey      = "no-key"
	ReasonUnknownKey = "unknown-key"
)

// Values of ResponseInfo.NotRunReason and ResponseInfo.InvalidReason.
const (
	// ReasonShed means that the upstream is overloaded and rejected the request.
	ReasonShed = "upstream-shed"
	// ReasonReplaced means that a different upstream now has the address.
	ReasonReplaced = "upstream-replaced"
	// ReasonMismatch means that the response belongs to another request.
	ReasonMismatch = "answer-mismatch"
	// ReasonUnattributed means that the response may belong to an earlier request on the same
	// connection.
	ReasonUnattributed = "answer-unattributed"
	// ReasonUnproven means that the status promises callers that their request was not run, which the
	// response does not prove.
	ReasonUnproven = "refusal-unproven"
	// ReasonUnsigned means that the response lacks its upstream's signature.
	ReasonUnsigned = "answer-unsigned"
)
