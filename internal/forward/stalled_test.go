package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"
)

// The tests in this file guard against responses that wait for a request body. net/http reads
// the rest of a body before it writes the response, so a caller that has stopped sending would
// get no response at all.

// callerConn is a caller's connection, on which a test writes requests as text.
type callerConn struct {
	net.Conn
	r *bufio.Reader
}

// dial opens a caller's connection to the entry. Reads from it fail after ten seconds.
func (e *entry) dial(t *testing.T) *callerConn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	return &callerConn{conn, bufio.NewReader(conn)}
}

// request writes a whole request, reads the response and returns it with its body.
func (c *callerConn) request(t *testing.T, request string) (*http.Response, string) {
	t.Helper()
	if _, err := fmt.Fprint(c, request); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// stalledUpload sends the head of an upload without its body and returns the response. If none
// arrives, it fails the test and returns nil.
func stalledUpload(t *testing.T, e *entry, framing string, fields ...string) (*http.Response, *callerConn) {
	t.Helper()
	c := e.dial(t)
	head := "POST /photo HTTP/1.1\r\nHost: x\r\n" + framing + "\r\n"
	for i := 0; i < len(fields); i += 2 {
		head += fields[i] + ": " + fields[i+1] + "\r\n"
	}
	if _, err := fmt.Fprint(c, head+"\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Errorf("%s: no response: %v", framing, err)
		return nil, c
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Errorf("%s: reading the response: %v", framing, err)
	}
	return resp, c
}

// checkRestIsNoRequest sends a part of the body that looks like requests, and checks that none of
// them is served: the connection must be closed.
func (c *callerConn) checkRestIsNoRequest(t *testing.T, framing string) {
	t.Helper()
	request := "GET /smuggled HTTP/1.1\r\nHost: x\r\n" + header.Service + ": orders\r\n\r\n"
	_, _ = fmt.Fprint(c, strings.Repeat(request, 15))
	_ = c.Conn.(*net.TCPConn).CloseWrite()
	resp, err := http.ReadResponse(c.r, nil)
	if err == nil {
		resp.Body.Close()
		t.Errorf("%s: a part of the body was served as a request: status %d", framing, resp.StatusCode)
	}
}

// uploadFramings are the header fields that state how long the body of an upload is.
var uploadFramings = []string{"Content-Length: 1000", "Content-Length: 1000000", "Transfer-Encoding: chunked"}

// TestRejectedStalledUpload sends uploads that are rejected without reading their bodies.
func TestRejectedStalledUpload(t *testing.T) {
	e := newEntry(t, []*fakeUpstream{newFakeUpstream(t)})
	for _, framing := range uploadFramings {
		resp, c := stalledUpload(t, e, framing, header.Service, "nosuch")
		if resp != nil && resp.StatusCode != http.StatusNotFound {
			t.Errorf("%s: status %d", framing, resp.StatusCode)
		}
		c.checkRestIsNoRequest(t, framing)
	}
}

// TestStalledUploadAtShortDeadline sends uploads whose deadlines pass about when the entry starts
// to read their bodies.
func TestStalledUploadAtShortDeadline(t *testing.T) {
	f := newFakeUpstream(t)
	e := newEntry(t, []*fakeUpstream{f})
	for _, framing := range uploadFramings {
		for _, millis := range []string{"1", "2", "3", "5", "20"} {
			resp, c := stalledUpload(t, e, framing, header.Service, "orders", header.Deadline, millis)
			if resp != nil && resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusGatewayTimeout {
				t.Errorf("%s, deadline %s ms: status %d", framing, millis, resp.StatusCode)
			}
			c.checkRestIsNoRequest(t, framing)
		}
	}
	if n := len(f.received()); n != 0 {
		t.Errorf("%d incomplete uploads ran", n)
	}
}

// TestEarlyResponseToStalledUpload makes an upstream respond before it has read the body, of
// which the caller sends nothing. The caller must get a response.
func TestEarlyResponseToStalledUpload(t *testing.T) {
	s := newScriptedUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", header.RequestID, req.Header.Get(header.RequestID))
		_, _ = io.Copy(io.Discard, r)
	})
	e := newEntry(t, []*fakeUpstream{{lis: s.lis}})
	for _, framing := range uploadFramings {
		_, c := stalledUpload(t, e, framing, header.Service, "orders", header.Deadline, "100")
		c.checkRestIsNoRequest(t, framing)
	}
}

// TestCompleteUploadKeepsConnection checks that the caller's connection stays open after an upload
// whose body was read to its end.
func TestCompleteUploadKeepsConnection(t *testing.T) {
	e := newEntry(t, []*fakeUpstream{newFakeUpstream(t)})
	for _, size := range []int{1, 5_000, 300_000} {
		body := strings.Repeat("x", size)
		for _, r := range []io.Reader{strings.NewReader(body), newString(body)} {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.url+"/photo", r)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set(header.Service, "orders")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK || resp.Close {
				t.Errorf("%d bytes, length in the head %v: status %d, closes %v", size, req.ContentLength >= 0, resp.StatusCode, resp.Close)
			}
		}
	}
}

// TestConnectionServesNextRequest checks that, after a complete upload that was rejected or reached
// its deadline, the same connection serves the next request.
func TestConnectionServesNextRequest(t *testing.T) {
	c := newEntry(t, []*fakeUpstream{newFakeUpstream(t, hangs, responds)}).dial(t)
	const upload = "POST /photo HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
	for _, tt := range []struct {
		request string
		want    int
	}{
		{upload + header.Service + ": nosuch\r\n\r\nhello", http.StatusNotFound},
		{upload + header.Service + ": orders\r\n" + header.Deadline + ": 100\r\n\r\nhello", http.StatusGatewayTimeout},
		{upload + header.Service + ": orders\r\n\r\nhello", http.StatusOK},
	} {
		resp, _ := c.request(t, tt.request)
		if resp.StatusCode != tt.want || resp.Close {
			t.Errorf("status %d, want %d; closes %v", resp.StatusCode, tt.want, resp.Close)
		}
	}
}

// TestDeadlineBeforeBodyIsRead lets the deadline of a small upload pass while it waits for an
// upstream's limit, before anything has read its body. If the connection stays open, it must serve
// the next request.
func TestDeadlineBeforeBodyIsRead(t *testing.T) {
	for range 10 {
		e, _, route := newLimitedEntry(t, "10.5")
		route.Timeout = 50 * time.Millisecond
		c := e.dial(t)
		first, _ := c.request(t, "POST /photo HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello")
		if first.Close {
			continue
		}
		time.Sleep(200 * time.Millisecond)
		route.Timeout = time.Minute
		next, body := c.request(t, "GET /photo HTTP/1.1\r\nHost: x\r\n\r\n")
		if next.StatusCode != http.StatusOK {
			t.Errorf("first status %d, next %d: %s", first.StatusCode, next.StatusCode, body)
		}
	}
}
