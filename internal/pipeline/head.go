package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
)

// headScanner finds the empty line that ends the head of a request.
type headScanner struct {
	// line is the number of bytes of the current line so far, and last the latest of them.
	line int
	last byte
}

// end returns the position behind the end of the head in p, or -1 if p does not have it. The next
// call must continue behind p, or at the returned position with the next head.
func (s *headScanner) end(p []byte) int {
	for at := 0; ; {
		n := bytes.IndexByte(p[at:], '\n')
		if n < 0 {
			s.add(p[at:])
			return -1
		}
		s.add(p[at : at+n])
		at += n + 1
		empty := s.line == 0 || s.line == 1 && s.last == '\r'
		s.line = 0
		if empty {
			return at
		}
	}
}

func (s *headScanner) add(p []byte) {
	if len(p) > 0 {
		s.line += len(p)
		s.last = p[len(p)-1]
	}
}

// safe reports whether a request may be served at the same time as others of its connection: it
// has a safe method (RFC 9112, section 9.3.2) and no body, and does not change the connection.
func safe(r *http.Request) bool {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		return false
	}
	return r.ProtoAtLeast(1, 1) && r.ContentLength == 0 && r.Header.Get("Expect") == "" && r.Header.Get("Upgrade") == ""
}

// parseHead parses a head that ends with its empty line.
func parseHead(p []byte) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(p), len(p)))
}
