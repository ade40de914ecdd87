package forward

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
)

// TestEndlessBytesEndTheConnection makes an upstream send bytes without end in each part of a response
// that is read before its body is passed on. The request must fail, and the connection be closed.
func TestEndlessBytesEndTheConnection(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nTest-Id: b\r\n"
	for name, tt := range map[string]struct{ begin, repeat string }{
		"no response":         {"", "x"},
		"status line":         {"HTTP/1.1 200 ", "x"},
		"field name":          {ok, "x"},
		"field value":         {ok + "Name: ", "x"},
		"fields":              {ok, "Name: value\r\n"},
		"interim responses":   {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"stale body":          {"HTTP/1.1 200 OK\r\nTest-Id: a\r\nContent-Length: 99999999999\r\n\r\n", "x"},
		"stale chunks":        {"HTTP/1.1 200 OK\r\nTest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"stale responses":     {"", answerTo("a")},
		"chunk size":          {ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":     {ok + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":             {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nName: ", "x"},
		"fields of a trailer": {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			s := newScriptedUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				defer close(ended)
				first, err := readRequest(r)
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(c, answerTo(first))
				if _, err := readRequest(r); err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(c, tt.begin)
				for part := strings.Repeat(tt.repeat, 1000); err == nil; {
					_, err = io.WriteString(c, part)
				}
			})
			p := newTestPool()
			if got, err := s.send(t, p, "a", "/", nil, 0); got != "a" || err != nil {
				t.Fatalf("the first request got %q, %v", got, err)
			}
			if got, err := s.send(t, p, "b", "/", nil, 0); err == nil {
				t.Errorf("the second request got %q", got)
			}
			<-ended
		})
	}
}
