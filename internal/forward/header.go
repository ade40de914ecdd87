package forward

import (
	"net/http"
	"strings"

	"github.com/loomkeel/loomkeel/internal/header"
)

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
		if strings.HasPrefix(name, header.Prefix) {
			delete(h, name)
		}
	}
}
