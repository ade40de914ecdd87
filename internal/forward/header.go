package forward

import (
	"iter"
	"net/http"
	"strings"

	"github.com/loomkeel/loomkeel/internal/header"
)

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopHeaders removes the hop-by-hop headers, including those that the Connection header
// lists.
func removeHopHeaders(h http.Header) {
	for name := range connectionOptions(h) {
		h.Del(name)
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// connectionOptions returns what the Connection header lists.
func connectionOptions(h http.Header) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, list := range h["Connection"] {
			for name := range strings.SplitSeq(list, ",") {
				if !yield(strings.TrimSpace(name)) {
					return
				}
			}
		}
	}
}

// removeOwnHeaders removes the headers that start with header.Prefix.
func removeOwnHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, header.Prefix) {
			delete(h, name)
		}
	}
}
