package forward

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/tree"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// Native is the project's own Protocol; package header names its headers.
type Native struct{}

// maxRequestID is the largest length of a request id from a caller in bytes.
const maxRequestID = 64

// ParseRequest implements Protocol. A request names its service by header or by host.
func (Native) ParseRequest(r *http.Request, snap *model.Snapshot) (RequestInfo, *RequestError) {
	name, known := serviceName(r, snap)
	svc := snap.Services[name]
	if svc == nil || !known {
		detail := fmt.Sprintf("unknown service %q: name one by %s or by host", name, header.Service)
		return RequestInfo{}, &RequestError{http.StatusNotFound, "unknown-service", detail}
	}
	safe, err := isSafe(r, svc)
	if err != nil {
		return RequestInfo{}, badRequest(err)
	}
	limit, err := timeLimit(r)
	if err != nil {
		return RequestInfo{}, badRequest(err)
	}
	a := RequestInfo{Service: name, Safe: safe, Timeout: limit}
	if id := r.Header.Get(header.RequestID); len(id) <= maxRequestID {
		a.ID = id
	}
	return a, nil
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

// isSafe tells whether a request may be repeated: by the caller's mark, else by
// the service's setting, else by its method. A mark can make a request unsafe
// that the method would make safe, and the other way round, but it cannot make
// one safe that the service's setting calls unsafe.
func isSafe(r *http.Request, svc *model.Service) (bool, error) {
	mark := r.Header.Get(header.Repeat)
	if mark != "" && mark != tree.RepeatSafe && mark != tree.RepeatUnsafe {
		return false, fmt.Errorf("%s is %q, allowed are %s and %s", header.Repeat, mark, tree.RepeatSafe, tree.RepeatUnsafe)
	}
	switch {
	case svc.Repeat == tree.RepeatUnsafe, mark == tree.RepeatUnsafe:
		return false, nil
	case svc.Repeat == tree.RepeatSafe, mark == tree.RepeatSafe:
		return true, nil
	}
	return r.Method == http.MethodGet || r.Method == http.MethodHead, nil
}

func timeLimit(r *http.Request) (time.Duration, error) {
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
func (Native) SetRequestHeaders(h http.Header, ask *RequestInfo, _ *model.Upstream, left time.Duration) {
	dropOwn(h)
	h.Set(header.RequestID, ask.ID)
	h.Set(header.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
}

// ParseResponse implements Protocol. An answer that ends with its connection is refused:
// nobody could tell it from a cut one.
func (Native) ParseResponse(resp *http.Response, ask *RequestInfo, svc *model.Service) ResponseInfo {
	t := ResponseInfo{Load: -1, Waiting: -1}
	if load, err := strconv.Atoi(resp.Header.Get(header.Load)); err == nil {
		t.Load = load
	}
	t.Draining = resp.Header.Get(header.State) == header.StateDraining
	echo := resp.Header.Get(header.RequestID)
	switch {
	case slices.Contains(svc.NotRunStatuses, resp.StatusCode):
		t.NotRunReason = ReasonShed
		t.Rate, _, _ = ParseRate(resp, header.RateLimit)
	case echo != "" && echo != ask.ID:
		t.InvalidReason = ReasonMismatch
	case endsWithConnection(resp):
		t.InvalidReason = reasonUnframed
	default:
		t.Rate, _, _ = ParseRate(resp, header.RateLimit)
	}
	return t
}

// endsWithConnection reports whether an answer has no length of its own.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead
}

// SetResponseHeaders implements Protocol.
func (Native) SetResponseHeaders(h http.Header, ask *RequestInfo) {
	dropOwn(h)
	h.Set(header.RequestID, ask.ID)
}

// SetErrorHeaders implements Protocol.
func (Native) SetErrorHeaders(h http.Header, id string, v verdict.Verdict, retryAfter time.Duration) {
	h.Set(verdict.Header, v.String())
	h.Set(header.RequestID, id)
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
}

// Matches implements Protocol. An upstream need not echo the id, so that a
// surplus answer cannot be told; Read refuses one with another id.
func (Native) Matches(*http.Response, *http.Request) bool { return true }
