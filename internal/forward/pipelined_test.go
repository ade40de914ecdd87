package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"
)

// The tests in this file send further requests on a caller's connection before the first is
// answered.

// get returns the text of a request with an ID.
func get(id string) string {
	return "GET /x HTTP/1.1\r\nHost: x\r\n" + header.Service + ": orders\r\n" + header.RequestID + ": " + id + "\r\n\r\n"
}

// readAnswers reads responses until the connection ends or there are n, and returns the statuses
// and IDs.
func (c *callerConn) readAnswers(n int) (answers []string) {
	for range n {
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			return answers
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return answers
		}
		answers = append(answers, fmt.Sprint(resp.StatusCode, " ", resp.Header.Get(header.RequestID)))
	}
	return answers
}

// TestPipelinedRequests checks the answers to requests that are sent behind others, and that those
// behind an answer that closes the connection are not run: callers send them again.
func TestPipelinedRequests(t *testing.T) {
	upload := func(id, body string, length int) string {
		return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: x\r\n%s: orders\r\n%s: %s\r\n%s: 200\r\nContent-Length: %d\r\n\r\n%s",
			header.Service, header.RequestID, id, header.Deadline, length, body)
	}
	unknown := strings.Replace(get("b"), "orders", "nosuch", 1)
	closing := strings.Replace(get("b"), "Host: x\r\n", "Host: x\r\nConnection: close\r\n", 1)
	for _, tt := range []struct {
		name, sent string
		answers    string
		ran        string
		// together is set if the requests that ran may have reached the upstream in any order.
		together bool
	}{
		{"in order", get("a") + get("b") + get("c"), "200 a, 200 b, 200 c", "a b c", true},
		{"behind a refusal", get("a") + unknown + get("c"), "200 a, 404 own-1, 200 c", "a c", true},
		{"behind a close by the caller", get("a") + closing + get("c"), "200 a, 200 b", "a b", true},
		{"behind an upload", upload("a", "hello", 5) + get("b"), "200 a, 200 b", "a b", false},
		{"an upload behind", get("a") + upload("b", "hello", 5) + upload("c", "hello", 5), "200 a, 200 b, 200 c", "a b c", false},
		{"a body that stalls", get("a") + upload("b", "he", 5), "200 a, 504 b", "a", false},
		{"behind a body that stalls", upload("a", "he", 1000) + get("b"), "504 a", "", false},
	} {
		f := newFakeUpstream(t)
		e := newEntry(t, []*fakeUpstream{f})
		c := e.dial(t)
		if _, err := fmt.Fprint(c, tt.sent); err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(c.readAnswers(1+strings.Count(tt.answers, ",")), ", "); got != tt.answers {
			t.Errorf("%s: answers %s, want %s", tt.name, got, tt.answers)
		}
		var ran []string
		for _, r := range f.received() {
			ran = append(ran, r.id)
		}
		if tt.together {
			slices.Sort(ran)
		}
		if got := strings.Join(ran, " "); got != tt.ran {
			t.Errorf("%s: ran %s, want %s", tt.name, got, tt.ran)
		}
	}
}

// TestPipelinedBehindBrokenAnswer breaks off an answer that is too long to be held usually, when two
// requests behind it are being served. Both must be answered.
func TestPipelinedBehindBrokenAnswer(t *testing.T) {
	const size = 100_000
	whole := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	half := strings.Repeat("x", size/2)
	for name, broken := range map[string]string{
		"with a length":              fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, half),
		"in chunks":                  fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(half), half),
		"in chunks, after the first": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n%x\r\n%s\r\n", size, half),
	} {
		behind := make(chan struct{}, 2)
		s := newScriptedUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if req.Header.Get(header.RequestID) == "a" {
					for range cap(behind) {
						<-behind
					}
					close(behind)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+broken)
					return
				}
				behind <- struct{}{}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+whole)
			}
		})
		e := newEntry(t, []*fakeUpstream{{lis: s.lis}})
		c := e.dial(t)
		if _, err := fmt.Fprint(c, get("a")+get("b")+get("c")); err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(c.readAnswers(3), ", "); got != "502 a, 200 b, 200 c" {
			t.Errorf("%s: answers %s", name, got)
		}
	}
}

// TestPipelinedBehindStream sends a request while a long answer is being sent, which then breaks off or
// ends. The request must not be passed on before.
func TestPipelinedBehindStream(t *testing.T) {
	const size = 100_000
	half := strings.Repeat("x", size/2)
	for _, tt := range []struct {
		name, rest string
		answers    string
		passedOn   int32
	}{
		{"that breaks off", "", "", 0},
		{"that ends", half, "200 a, 200 b", 1},
	} {
		end, passedOn := make(chan struct{}), atomic.Int32{}
		s := newScriptedUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if req.Header.Get(header.RequestID) == "b" {
					passedOn.Add(1)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					continue
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, half)
				<-end
				if tt.rest == "" {
					return
				}
				_, _ = io.WriteString(c, tt.rest)
			}
		})
		e := newEntry(t, []*fakeUpstream{{lis: s.lis}})
		c := e.dial(t)
		if _, err := fmt.Fprint(c, get("a")); err != nil {
			t.Fatal(err)
		}
		if _, err := c.r.Peek(1000); err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprint(c, get("b")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		if n := passedOn.Load(); n != 0 {
			t.Errorf("%s: %d requests were passed on meanwhile", tt.name, n)
		}
		close(end)
		got := strings.Join(c.readAnswers(2), ", ")
		if n := passedOn.Load(); got != tt.answers || n != tt.passedOn {
			t.Errorf("%s: answers %q, %d requests passed on behind it", tt.name, got, n)
		}
	}
}

// TestDrainBetweenPipelinedRequests stops the entry while a request is in progress: its answer
// arrives, and those behind it are refused as not run.
func TestDrainBetweenPipelinedRequests(t *testing.T) {
	f := newFakeUpstream(t)
	e := newEntry(t, []*fakeUpstream{f})
	c := e.dial(t)
	if _, err := fmt.Fprint(c, get("a")); err != nil {
		t.Fatal(err)
	}
	if got := c.readAnswers(1); len(got) != 1 || got[0] != "200 a" {
		t.Fatalf("answers %v", got)
	}
	e.Stop()
	if _, err := fmt.Fprint(c, get("b")+get("c")); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(c.readAnswers(2), ", "); got != "503 b, 503 c" {
		t.Errorf("answers %s", got)
	}
	if n := len(f.received()); n != 1 {
		t.Errorf("%d requests ran, want 1", n)
	}
}

// TestCallerLeavesBetweenPipelinedRequests closes the connection without reading. Requests in
// progress must end, and those that were not read must not run afterwards.
func TestCallerLeavesBetweenPipelinedRequests(t *testing.T) {
	unsafe := strings.Replace(get("c"), "GET", "POST", 1)
	for _, tt := range []struct {
		name, sent string
		ran        int
	}{
		{"before an unsafe one", get("a") + unsafe, 1},
		{"in pages, before an unsafe one", get("a") + get("b") + unsafe + get("d"), 2},
	} {
		f := newFakeUpstream(t)
		f.always = hangs
		e := newEntry(t, []*fakeUpstream{f})
		c := e.dial(t)
		if _, err := fmt.Fprint(c, tt.sent); err != nil {
			t.Fatal(err)
		}
		for len(f.received()) < tt.ran {
			time.Sleep(time.Millisecond)
		}
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
		for range tt.ran {
			<-f.clientClosed
		}
		for e.InFlight() > 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		if n := len(f.received()); n != tt.ran {
			t.Errorf("%s: %d requests ran, want %d", tt.name, n, tt.ran)
		}
	}
}

// TestCallerLeavesAfterLaterRequest sends a second request while the first is in progress, and then
// closes the connection. The upstream must be told: an idempotent request of a caller that has left
// is of no use.
func TestCallerLeavesAfterLaterRequest(t *testing.T) {
	f := newFakeUpstream(t, hangs)
	e := newEntry(t, []*fakeUpstream{f})
	c := e.dial(t)
	if _, err := fmt.Fprint(c, get("a")); err != nil {
		t.Fatal(err)
	}
	for len(f.received()) == 0 {
		time.Sleep(time.Millisecond)
	}
	if _, err := fmt.Fprint(c, get("b")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	c.Close()
	select {
	case <-f.clientClosed:
	case <-time.After(time.Second):
		t.Error("the upstream still works for a caller that left a second ago")
	}
}
