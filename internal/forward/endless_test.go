package forward

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
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

// endlessReader is a body without end that records what was read and whether it was closed.
type endlessReader struct {
	read   int
	closed bool
}

// Read implements io.Reader.
func (r *endlessReader) Read(p []byte) (int, error) {
	r.read += len(p)
	return copy(p, bytes.Repeat([]byte{'x'}, len(p))), nil
}

// Close implements io.Closer.
func (r *endlessReader) Close() error {
	r.closed = true
	return nil
}

// TestEndlessBodiesThatAreNotPassedOn reads bodies without end of responses that the entry uses itself: a
// peer's own response, and one that is dropped.
func TestEndlessBodiesThatAreNotPassedOn(t *testing.T) {
	body := new(endlessReader)
	resp := unframedResponse(nil)
	resp.Body, resp.StatusCode = body, http.StatusServiceUnavailable
	if reply, err := readPeerReply(resp, "id"); err == nil || body.read > 2*maxPeerReply || !body.closed {
		t.Errorf("reply of a peer: %+v, %v, %d bytes read, closed %v", reply, err, body.read, body.closed)
	}
	body = new(endlessReader)
	resp.Body = body
	if discard(resp); body.read > 16<<10 || !body.closed {
		t.Errorf("dropped response: %d bytes read, closed %v", body.read, body.closed)
	}
}

// TestEndlessProbeAnswersEndTheConnection makes an upstream answer health checks without end, or with a byte
// now and then. The probe must end within its time.
func TestEndlessProbeAnswersEndTheConnection(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, tt := range map[string]struct {
		begin, repeat string
		pause         time.Duration
	}{
		"status line":     {"HTTP/1.1 200 ", strings.Repeat("x", 4096), 0},
		"fields":          {ok, strings.Repeat("Name: value\r\n", 300), 0},
		"body":            {ok + "\r\n", strings.Repeat("x", 4096), 0},
		"chunks":          {ok + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 700), 0},
		"body, slowly":    {ok + "\r\n", "x", 20 * time.Millisecond},
		"fields, slowly":  {ok, "Name: value\r\n", 20 * time.Millisecond},
		"nothing, slowly": {"", "x", 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan int, 1)
			s := newScriptedUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				n := 0
				defer func() { ended <- n }()
				if _, err := readRequest(r); err != nil {
					return
				}
				_, err := io.WriteString(c, tt.begin)
				for err == nil && n < 64<<20 {
					_, err = io.WriteString(c, tt.repeat)
					n += len(tt.repeat)
					time.Sleep(tt.pause)
				}
			})
			e := newEntry(t, []*fakeUpstream{{lis: s.lis}})
			e.probe(t.Context(), probeTarget{model.Upstream{ID: "u0", Service: "orders", Domain: "a", Address: s.lis.Addr().String()}, "/", http.Header{}})
			if n := <-ended; n >= 64<<20 {
				t.Errorf("%d bytes read", n)
			}
		})
	}
}
