package forward

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/tree"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// Native is the project's own Protocol. Package header defines its headers.
type Native struct{}

// maxRequestID is the largest length in bytes of a request ID from a caller. A longer ID is
// replaced.
const maxRequestID = 64

// ParseRequest implements Protocol. The service is taken from header.Service or, without that
// header, from the host.
func (Native) ParseRequest(r *http.Request, snap *model.Snapshot) (RequestInfo, *RequestError) {
	name, known := serviceName(r, snap)
	svc := snap.Services[name]
	if svc == nil || !known {
		detail := fmt.Sprintf("unknown service %q: name one by %s or by host", name, header.Service)
		return RequestInfo{}, &RequestError{http.StatusNotFound, "unknown-service", detail}
	}
	idempotent, err := isIdempotent(r, svc)
	if err != nil {
		return RequestInfo{}, badRequest(err)
	}
	timeout, err := parseTimeout(r)
	if err != nil {
		return RequestInfo{}, badRequest(err)
	}
	info := RequestInfo{Service: name, Idempotent: idempotent, Timeout: timeout}
	if id := r.Header.Get(header.RequestID); len(id) <= maxRequestID {
		info.ID = id
	}
	return info, nil
}

func badRequest(err error) *RequestError {
	return &RequestError{http.StatusBadRequest, "bad-request", err.Error()}
}

func serviceName(r *http.Request, snap *model.Snapshot) (string, bool) {
	if name := r.Header.Get(header.Service); name != "" {
		return name, true
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	name, ok := snap.Hosts[host]
	return name, ok
}

// isIdempotent reports whether a request may run more than once: by the caller's header.Repeat,
// else by the service's setting, else by the method. The header may override the method either
// way, but it cannot make a request idempotent if the service's setting is tree.RepeatUnsafe.
func isIdempotent(r *http.Request, svc *model.Service) (bool, error) {
	repeat := r.Header.Get(header.Repeat)
	if repeat != "" && repeat != tree.RepeatSafe && repeat != tree.RepeatUnsafe {
		return false, fmt.Errorf("%s is %q, allowed are %s and %s", header.Repeat, repeat, tree.RepeatSafe, tree.RepeatUnsafe)
	}
	switch {
	case svc.Repeat == tree.RepeatUnsafe, repeat == tree.RepeatUnsafe:
		return false, nil
	case svc.Repeat == tree.RepeatSafe, repeat == tree.RepeatSafe:
		return true, nil
	}
	return r.Method == http.MethodGet || r.Method == http.MethodHead, nil
}

func parseTimeout(r *http.Request) (time.Duration, error) {
	s := r.Header.Get(header.Deadline)
	if s == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(s, 10, 32)
	if err != nil || ms <= 0 {
		return 0, fmt.Errorf("%s is %q, allowed are whole milliseconds above 0", header.Deadline, s)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// SetRequestHeaders implements Protocol.
func (n Native) SetRequestHeaders(h http.Header, info *RequestInfo, _ *model.Upstream, left time.Duration) {
	removeOwnHeaders(h)
	n.SetPeerHeaders(h, info, left)
}

// SetPeerHeaders implements Protocol.
func (Native) SetPeerHeaders(h http.Header, info *RequestInfo, left time.Duration) {
	h.Set(header.RequestID, info.ID)
	h.Set(header.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
}

// ParseResponse implements Protocol. A response that is delimited by the end of its connection
// is invalid, because it cannot be distinguished from a truncated one.
func (Native) ParseResponse(resp *http.Response, info *RequestInfo, svc *model.Service) ResponseInfo {
	out := ResponseInfo{Announcement: balance.NoAnnouncement()}
	if load, err := strconv.Atoi(resp.Header.Get(header.Load)); err == nil {
		out.Load = load
	}
	out.Draining = resp.Header.Get(header.State) == header.StateDraining
	echo := resp.Header.Get(header.RequestID)
	out.Identified = echo != "" && echo == info.ID
	switch {
	case echo != "" && echo != info.ID:
		out.InvalidReason = ReasonMismatch
		out.Announcement = balance.NoAnnouncement()
	case slices.Contains(svc.NotRunStatuses, resp.StatusCode):
		out.NotRunReason = ReasonShed
		out.Limit, _, _ = ParseRate(resp, header.RateLimit)
	case closeDelimited(resp):
		out.InvalidReason = reasonUnframed
	default:
		out.Limit, _, _ = ParseRate(resp, header.RateLimit)
	}
	if out.InvalidReason == "" {
		out.Backoff, _, _ = ParseBackoff(resp, out.Limit)
	}
	return out
}

// closeDelimited reports whether the end of the response body is marked only by the end of the
// connection.
func closeDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead
}

// SetProbeHeaders implements Protocol. Upstreams run all requests, so there is no such request.
func (Native) SetProbeHeaders(http.Header, string) bool { return false }

// SetResponseHeaders implements Protocol.
func (Native) SetResponseHeaders(h http.Header, info *RequestInfo) {
	removeOwnHeaders(h)
	h.Set(header.RequestID, info.ID)
}

// SetErrorHeaders implements Protocol.
func (Native) SetErrorHeaders(h http.Header, id string, v verdict.Verdict, retryAfter time.Duration) {
	h.Set(verdict.Header, v.String())
	h.Set(header.RequestID, id)
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
}

// Matches implements Protocol. It returns true for all responses: upstreams need not echo the
// request ID, so that stale responses cannot be recognised. ParseResponse rejects a response
// with a different ID.
func (Native) Matches(*http.Response, *http.Request) bool { return true }

// SentID implements Protocol.
func (Native) SentID(req *http.Request) string { return req.Header.Get(header.RequestID) }

// Identified implements Protocol. It returns true for all responses, so that connections to
// upstreams that do not echo the request ID can be reused.
func (Native) Identified(*http.Response) bool { return true }
