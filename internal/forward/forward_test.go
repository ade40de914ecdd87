package forward

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/loomkeel/loomkeel/internal/header"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/loomkeel/loomkeel/internal/tree"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

var verdictSeeds = flag.Int64("verdict-seeds", 1, "number of seeds of TestVerdictsMatchExecution")

func (a result) verdict(t testing.TB) verdict.Verdict {
	t.Helper()
	if a.bodyErr != nil {
		return verdict.MayHaveRun
	}
	h := a.header.Get(verdict.Header)
	if h == "" {
		return verdict.Ran
	}
	v, err := verdict.Parse(h)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// TestUnsafeIsNeverRepeated makes an upstream read the request and close the connection, for a
// new connection and for a reused one. net/http would resend such a request by itself because
// of its Idempotency-Key.
func TestUnsafeIsNeverRepeated(t *testing.T) {
	for _, reused := range []bool{false, true} {
		for _, method := range []string{"POST", "GET", "DELETE"} {
			t.Run(fmt.Sprint(method, " reused ", reused), func(t *testing.T) {
				next := []behaviour{closesAfterRead}
				if reused {
					next = []behaviour{responds, closesAfterRead}
				}
				f := newFakeUpstream(t, next...)
				e := newEntry(t, []*fakeUpstream{f, newFakeUpstream(t, closesAfterRead)}[:1])
				if reused {
					e.send(t, "GET", "/warm", "")
				}
				a := e.send(t, method, "/order", "", header.Repeat, "unsafe", header.RequestID, "order-1", "Idempotency-Key", "k1")
				if a.verdict(t) != verdict.MayHaveRun || a.status != http.StatusBadGateway {
					t.Errorf("verdict %v, status %d", a.verdict(t), a.status)
				}
				n := 0
				for _, r := range f.received() {
					if r.id == "order-1" {
						n++
					}
				}
				if n != 1 {
					t.Errorf("the request ran %d times", n)
				}
			})
		}
	}
}

func TestAttempts(t *testing.T) {
	tests := []struct {
		name          string
		first, second []behaviour
		method        string
		status        int
		verdict       verdict.Verdict
		runs          int
	}{
		{"idempotent request is retried after a closed connection", []behaviour{closesAfterRead, closesAfterRead, closesAfterRead}, nil, "GET", 200, verdict.Ran, -1},
		{"idempotent request is retried after a truncated response", []behaviour{truncates, truncates, truncates}, nil, "GET", 200, verdict.Ran, -1},
		{"non-idempotent request is not retried after a truncated response", []behaviour{truncates}, []behaviour{truncates}, "POST", 502, verdict.MayHaveRun, 1},
		{"non-idempotent request is retried after a shed", []behaviour{sheds, sheds, sheds}, nil, "POST", 200, verdict.Ran, 1},
		{"request shed by all upstreams has not run", []behaviour{sheds, sheds, sheds}, []behaviour{sheds, sheds, sheds}, "POST", 503, verdict.NotRun, 0},
		{"response to another request is not passed on", []behaviour{wrongID}, []behaviour{wrongID}, "POST", 502, verdict.MayHaveRun, 1},
		{"close-delimited response is not passed on", []behaviour{closesToEnd}, []behaviour{closesToEnd}, "POST", 502, verdict.MayHaveRun, 1},
		{"unread request may have run", []behaviour{closesUnread}, []behaviour{closesUnread}, "POST", 502, verdict.MayHaveRun, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, b := newFakeUpstream(t, tt.first...), newFakeUpstream(t, tt.second...)
			e := newEntry(t, []*fakeUpstream{a, b})
			got := e.send(t, tt.method, "/x", "", header.RequestID, "r1")
			if got.status != tt.status || got.verdict(t) != tt.verdict {
				t.Errorf("status %d, verdict %v; want %d, %v", got.status, got.verdict(t), tt.status, tt.verdict)
			}
			if n := len(a.received()) + len(b.received()); tt.runs >= 0 && n != tt.runs {
				t.Errorf("the request ran %d times, want %d", n, tt.runs)
			}
			if tt.status == 200 && got.body != "answer to r1" {
				t.Errorf("body %q", got.body)
			}
		})
	}
}

// TestVerdictsMatchExecution sends requests to upstreams with random behaviour. A request with
// the verdict not-run must not have run, a non-idempotent request must not run twice, each must get a
// response, and a successful one must be complete and belong to the request.
func TestVerdictsMatchExecution(t *testing.T) {
	for seed := range *verdictSeeds {
		testVerdicts(t, 11+seed)
	}
}

func testVerdicts(t *testing.T, seed int64) {
	params := gopter.DefaultTestParametersWithSeed(seed)
	params.MinSuccessfulTests = 40
	props := gopter.NewProperties(params)
	props.Property("verdicts match executions", prop.ForAll(func(plan []int) string {
		var fakes []*fakeUpstream
		for i := range 3 {
			f := newFakeUpstream(t)
			for j, b := range plan {
				if j%3 == i {
					f.next = append(f.next, behaviour(b))
				}
			}
			fakes = append(fakes, f)
		}
		e := newEntry(t, fakes)
		for i := range len(plan) {
			id := fmt.Sprint("r", i)
			safe := i%2 == 0
			repeat := map[bool]string{true: "safe", false: "unsafe"}[safe]
			a := e.send(t, "POST", "/x", "body of "+id, header.RequestID, id, header.Repeat, repeat, "Idempotency-Key", id)
			if failure := checkRequest(t, fakes, id, safe, a); failure != "" {
				return failure
			}
		}
		return ""
	}, gen.SliceOfN(9, gen.IntRange(0, int(hangs)-1))))
	props.TestingRun(t)
}

func checkRequest(t *testing.T, fakes []*fakeUpstream, id string, safe bool, a result) string {
	runs := 0
	for _, f := range fakes {
		for _, r := range f.received() {
			if r.id != id {
				continue
			}
			runs++
			if r.body != "body of "+id {
				return fmt.Sprintf("%s reached an upstream with the body %q", id, r.body)
			}
		}
	}
	v := a.verdict(t)
	switch {
	case a.status == 0:
		return fmt.Sprintf("%s got no response: %v", id, a.bodyErr)
	case v == verdict.NotRun && runs > 0:
		return fmt.Sprintf("%s has the verdict not-run, but ran %d times", id, runs)
	case !safe && runs > 1:
		return fmt.Sprintf("non-idempotent request %s ran %d times", id, runs)
	case a.status == 200 && a.bodyErr == nil && a.body != "answer to "+id:
		return fmt.Sprintf("%s got the response %q", id, a.body)
	case a.status == 200 && a.bodyErr == nil && runs == 0:
		return fmt.Sprintf("%s got a successful response, but never ran", id)
	}
	return ""
}

// TestTruncatedStreamIsReported truncates a chunked response. The caller must get an error.
func TestTruncatedStreamIsReported(t *testing.T) {
	e := newEntry(t, []*fakeUpstream{newFakeUpstream(t, truncatesChunked)})
	if a := e.send(t, "POST", "/photo", ""); a.bodyErr == nil {
		t.Errorf("the caller got %q as a complete response", a.body)
	}
}

func TestUnreachableIsNotRun(t *testing.T) {
	gone := newUnreachableUpstream(t)
	e := newEntry(t, []*fakeUpstream{gone})
	a := e.send(t, "POST", "/x", "")
	if a.status != http.StatusServiceUnavailable || a.verdict(t) != verdict.NotRun || a.header.Get("Retry-After") == "" {
		t.Errorf("status %d, verdict %v, Retry-After %q", a.status, a.verdict(t), a.header.Get("Retry-After"))
	}
	up := newFakeUpstream(t)
	e = newEntry(t, []*fakeUpstream{gone, gone, up})
	if a := e.send(t, "POST", "/x", "", header.RequestID, "r1"); a.status != 200 || len(up.received()) != 1 {
		t.Errorf("status %d, the request ran %d times", a.status, len(up.received()))
	}
}

// TestDeadlineCancelsRequest checks that at the deadline the caller gets its response and the
// upstream's connection is closed.
func TestDeadlineCancelsRequest(t *testing.T) {
	f := newFakeUpstream(t, hangs)
	e := newEntry(t, []*fakeUpstream{f})
	a := e.send(t, "POST", "/x", "", header.Deadline, "100")
	if a.status != http.StatusGatewayTimeout || a.verdict(t) != verdict.MayHaveRun {
		t.Errorf("status %d, verdict %v", a.status, a.verdict(t))
	}
	<-f.clientClosed
}

func TestCancellationReachesUpstream(t *testing.T) {
	f := newFakeUpstream(t, hangs)
	e := newEntry(t, []*fakeUpstream{f})
	ctx, cancel := context.WithCancel(t.Context())
	req, _ := http.NewRequestWithContext(ctx, "GET", e.url+"/x", nil)
	req.Header.Set(header.Service, "orders")
	done := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(req)
		done <- err
	}()
	for len(f.received()) == 0 {
		continue
	}
	cancel()
	<-f.clientClosed
	if <-done == nil {
		t.Error("a cancelled request got a response")
	}
}

func TestInvalidHeadersAreRejected(t *testing.T) {
	f := newFakeUpstream(t)
	e := newEntry(t, []*fakeUpstream{f})
	for _, h := range [][]string{{header.Repeat, "often"}, {header.Deadline, "soon"}, {header.Deadline, "-5"}} {
		a := e.send(t, "POST", "/x", "", h...)
		if a.status != http.StatusBadRequest || a.verdict(t) != verdict.NotRun || !strings.Contains(a.body, h[1]) {
			t.Errorf("%v: status %d, verdict %v: %s", h, a.status, a.verdict(t), a.body)
		}
	}
	if a := e.send(t, "POST", "/x", "", header.Service, "nosuch"); a.status != http.StatusNotFound {
		t.Errorf("unknown service: status %d", a.status)
	}
	if n := len(f.received()); n != 0 {
		t.Errorf("%d rejected requests ran", n)
	}
}

// TestServiceSettingOverridesRepeatHeader checks that a caller cannot mark requests as safe
// that the service's setting declares unsafe.
func TestServiceSettingOverridesRepeatHeader(t *testing.T) {
	edit := tree.Edit{Path: "/services/orders", Key: tree.KeyRepeat, Value: tree.RepeatUnsafe}
	a, b := newFakeUpstream(t, closesAfterRead), newFakeUpstream(t, closesAfterRead)
	e := newEntry(t, []*fakeUpstream{a, b}, edit)
	e.send(t, "GET", "/x", "", header.Repeat, "safe")
	if n := len(a.received()) + len(b.received()); n != 1 {
		t.Errorf("the request ran %d times", n)
	}
}

func TestHeaders(t *testing.T) {
	f := newFakeUpstream(t)
	e := newEntry(t, []*fakeUpstream{f})
	e.send(t, "GET", "/p%2Fq?a=b", "", "Connection", "X-Hop", "X-Hop", "1", "X-End", "2", "Loomkeel-Secret", "3", header.Deadline, "4000")
	r := f.received()[0]
	if r.path != "/p%2Fq?a=b" {
		t.Errorf("path %q", r.path)
	}
	for _, name := range []string{"X-Hop", "Loomkeel-Secret", header.Service} {
		if r.header.Get(name) != "" {
			t.Errorf("%s reached the upstream", name)
		}
	}
	if r.header.Get("X-End") != "2" || r.header.Get(header.Deadline) == "" || r.id == "" {
		t.Errorf("header %v", r.header)
	}
}

func TestStoppedEntryNamesOtherEntries(t *testing.T) {
	f := newFakeUpstream(t)
	e := newEntry(t, []*fakeUpstream{f})
	e.Stop()
	a := e.send(t, "POST", "/x", "")
	var body ErrorResponse
	if err := json.Unmarshal([]byte(a.body), &body); err != nil {
		t.Fatal(err)
	}
	if a.status != 503 || body.Verdict != "not-run" || len(body.Entries) != 1 || body.RetryAfterMillis == 0 {
		t.Errorf("status %d: %+v", a.status, body)
	}
}

// TestLongUploadIsForwarded streams a body that is too long to be buffered.
func TestLongUploadIsForwarded(t *testing.T) {
	f := newFakeUpstream(t)
	e := newEntry(t, []*fakeUpstream{f})
	photo := strings.Repeat("0123456789abcdef", 100_000)
	if a := e.send(t, "POST", "/photo", photo); a.status != 200 || f.received()[0].body != photo {
		t.Errorf("status %d, %d bytes arrived", a.status, len(f.received()[0].body))
	}
}

// TestTruncatedUploadIsNotRun breaks off uploads. The upstream must not take the part for the
// whole body.
func TestTruncatedUploadIsNotRun(t *testing.T) {
	f := newFakeUpstream(t)
	e := newEntry(t, []*fakeUpstream{f})
	for _, framing := range []string{"Content-Length: 1000", "Transfer-Encoding: chunked"} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "POST /photo HTTP/1.1\r\nHost: x\r\n%s: orders\r\n%s\r\n\r\n5\r\nhello\r\n", header.Service, framing)
		conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		conn.Close()
	}
	if n := len(f.received()); n != 0 {
		t.Errorf("%d truncated uploads were run as complete", n)
	}
	for _, u := range e.Dump()["orders"].Upstreams {
		if u.Failures != 0 {
			t.Errorf("%d truncated uploads count as failures of the upstream", u.Failures)
		}
	}
}

// TestTooLargeUpload checks that a body over the limit is rejected before it is sent if its
// length is known, and otherwise is cut off.
func TestTooLargeUpload(t *testing.T) {
	f := newFakeUpstream(t)
	e := newEntry(t, []*fakeUpstream{f})
	e.opt.MaxBody = 1000
	a := e.send(t, "POST", "/photo", strings.Repeat("x", 5000))
	if a.status != http.StatusRequestEntityTooLarge || a.verdict(t) != verdict.MayHaveRun {
		t.Errorf("status %d, verdict %v", a.status, a.verdict(t))
	}
	req, _ := http.NewRequest("POST", e.url+"/photo", strings.NewReader(strings.Repeat("x", 5000)))
	req.Header.Set(header.Service, "orders")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusRequestEntityTooLarge || resp.Header.Get(verdict.Header) != "not-run" {
		t.Errorf("upload with a known length: status %d, verdict %s", resp.StatusCode, resp.Header.Get(verdict.Header))
	}
	if n := len(f.received()); n != 0 {
		t.Errorf("%d requests ran", n)
	}
}
