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

// stalledConn is a caller's connection on which an upload has stalled.
type stalledConn struct {
	net.Conn
	r *bufio.Reader
}

// stalledUpload sends the head of an upload without its body and returns the response. If none
// arrives, it fails the test and returns nil.
func stalledUpload(t *testing.T, e *entry, framing string, fields ...string) (*http.Response, *stalledConn) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	head := "POST /photo HTTP/1.1\r\nHost: x\r\n" + framing + "\r\n"
	for i := 0; i < len(fields); i += 2 {
		head += fields[i] + ": " + fields[i+1] + "\r\n"
	}
	if _, err := fmt.Fprint(conn, head+"\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	c := &stalledConn{conn, bufio.NewReader(conn)}
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
func (c *stalledConn) checkRestIsNoRequest(t *testing.T, framing string) {
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
	hanging := newFakeUpstream(t, hangs, responds)
	e := newEntry(t, []*fakeUpstream{hanging})
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(conn)
	const upload = "POST /photo HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
	for _, tt := range []struct {
		request string
		want    int
	}{
		{upload + header.Service + ": nosuch\r\n\r\nhello", http.StatusNotFound},
		{upload + header.Service + ": orders\r\n" + header.Deadline + ": 100\r\n\r\nhello", http.StatusGatewayTimeout},
		{upload + header.Service + ": orders\r\n\r\nhello", http.StatusOK},
	} {
		if _, err := fmt.Fprint(conn, tt.request); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("want status %d, got no response: %v", tt.want, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
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
		e, _ := newLimitedEntry(t, "10.5", 50*time.Millisecond)
		conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		r := bufio.NewReader(conn)
		fmt.Fprint(conn, "POST /photo HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello")
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.Close {
			continue
		}
		time.Sleep(200 * time.Millisecond)
		fmt.Fprint(conn, "GET /photo HTTP/1.1\r\nHost: x\r\n\r\n")
		next, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(next.Body)
		if next.StatusCode != http.StatusOK {
			t.Errorf("first status %d, next %d: %s", resp.StatusCode, next.StatusCode, body)
		}
	}
}
