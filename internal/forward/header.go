package forward

import (
	"net/http"
	"strings"
)

// Headers between callers, loomkeel and upstreams.
const (
	// HeaderService names the service of a request; without it the host does.
	HeaderService = "Loomkeel-Service"
	// HeaderRepeat marks a request as safe or unsafe to repeat.
	HeaderRepeat = "Loomkeel-Repeat"
	// HeaderDeadline is the time that the request may still take, in
	// milliseconds.
	HeaderDeadline = "Loomkeel-Deadline"
	// HeaderRequestID names a request in logs; an upstream may echo it.
	HeaderRequestID = "X-Request-Id"
	// HeaderLoad is the number of requests in flight that an upstream reports.
	HeaderLoad = "Upstream-Load"
	// HeaderState is "draining" on answers of an upstream that wants no new work.
	HeaderState = "Upstream-State"
)

// stateDraining is the value of HeaderState.
const stateDraining = "draining"

// ownPrefix starts the names of loomkeel's own headers. Those from a caller
// that loomkeel has no use for are dropped.
const ownPrefix = "Loomkeel-"

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// dropHop removes the headers that must not be passed on.
func dropHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// dropOwn removes loomkeel's own headers.
func dropOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, ownPrefix) {
			delete(h, name)
		}
	}
}
