package forward

import (
	"context"
	"encoding/json"
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

func (a told) verdict(t testing.TB) verdict.Verdict {
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

// TestUnsafeIsNeverRepeated lets an upstream read the request and close, on a
// fresh connection and on one that served a request before. net/http would send
// such a request again by itself if it has an Idempotency-Key.
func TestUnsafeIsNeverRepeated(t *testing.T) {
	for _, reused := range []bool{false, true} {
		for _, method := range []string{"POST", "GET", "DELETE"} {
			t.Run(fmt.Sprint(method, " reused ", reused), func(t *testing.T) {
				next := []behaviour{diesRead}
				if reused {
					next = []behaviour{answers, diesRead}
				}
				f := newFake(t, next...)
				e := newEntry(t, []*fake{f, newFake(t, diesRead)}[:1])
				if reused {
					e.send(t, "GET", "/warm", "")
				}
				a := e.send(t, method, "/order", "", header.Repeat, "unsafe", header.RequestID, "order-1", "Idempotency-Key", "k1")
				if a.verdict(t) != verdict.MayHaveRun || a.status != http.StatusBadGateway {
					t.Errorf("told %v, status %d", a.verdict(t), a.status)
				}
				n := 0
				for _, r := range f.receipts() {
					if r.id == "order-1" {
						n++
					}
				}
				if n != 1 {
					t.Errorf("ran %d times", n)
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
		{"safe goes on after a death", []behaviour{diesRead, diesRead, diesRead}, nil, "GET", 200, verdict.Ran, -1},
		{"safe goes on after a cut answer", []behaviour{cuts, cuts, cuts}, nil, "GET", 200, verdict.Ran, -1},
		{"unsafe stops after a cut answer", []behaviour{cuts}, []behaviour{cuts}, "POST", 502, verdict.MayHaveRun, 1},
		{"unsafe goes on after a shed", []behaviour{sheds, sheds, sheds}, nil, "POST", 200, verdict.Ran, 1},
		{"shed everywhere is not run", []behaviour{sheds, sheds, sheds}, []behaviour{sheds, sheds, sheds}, "POST", 503, verdict.NotRun, 0},
		{"an answer to another request is not passed on", []behaviour{mixesUp}, []behaviour{mixesUp}, "POST", 502, verdict.MayHaveRun, 1},
		{"an answer without an end is not passed on", []behaviour{unframed}, []behaviour{unframed}, "POST", 502, verdict.MayHaveRun, 1},
		{"unread may have run", []behaviour{diesUnread}, []behaviour{diesUnread}, "POST", 502, verdict.MayHaveRun, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, b := newFake(t, tt.first...), newFake(t, tt.second...)
			e := newEntry(t, []*fake{a, b})
			got := e.send(t, tt.method, "/x", "", header.RequestID, "r1")
			if got.status != tt.status || got.verdict(t) != tt.verdict {
				t.Errorf("status %d, told %v; want %d, %v", got.status, got.verdict(t), tt.status, tt.verdict)
			}
			if n := len(a.receipts()) + len(b.receipts()); tt.runs >= 0 && n != tt.runs {
				t.Errorf("ran %d times, want %d", n, tt.runs)
			}
			if tt.status == 200 && got.body != "answer to r1" {
				t.Errorf("body %q", got.body)
			}
		})
	}
}

// TestVerdictsNeverLie sends requests to upstreams that behave at random. One
// told not run must not have run, an unsafe one must not run twice, and a good
// answer must be whole and the request's own.
func TestVerdictsNeverLie(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(11)
	params.MinSuccessfulTests = 40
	props := gopter.NewProperties(params)
	props.Property("told as it was", prop.ForAll(func(plan []int) string {
		var fakes []*fake
		for i := range 3 {
			f := newFake(t)
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
			mark := map[bool]string{true: "safe", false: "unsafe"}[safe]
			a := e.send(t, "POST", "/x", "body of "+id, header.RequestID, id, header.Repeat, mark, "Idempotency-Key", id)
			if fault := judge(t, fakes, id, safe, a); fault != "" {
				return fault
			}
		}
		return ""
	}, gen.SliceOfN(9, gen.IntRange(0, int(hangs)-1))))
	props.TestingRun(t)
}

func judge(t *testing.T, fakes []*fake, id string, safe bool, a told) string {
	runs := 0
	for _, f := range fakes {
		for _, r := range f.receipts() {
			if r.id != id {
				continue
			}
			runs++
			if r.body != "body of "+id {
				return fmt.Sprintf("%s reached an upstream as %q", id, r.body)
			}
		}
	}
	v := a.verdict(t)
	switch {
	case v == verdict.NotRun && runs > 0:
		return fmt.Sprintf("%s was told not run, ran %d times", id, runs)
	case !safe && runs > 1:
		return fmt.Sprintf("unsafe %s ran %d times", id, runs)
	case a.status == 200 && a.bodyErr == nil && a.body != "answer to "+id:
		return fmt.Sprintf("%s was answered %q", id, a.body)
	case a.status == 200 && a.bodyErr == nil && runs == 0:
		return fmt.Sprintf("%s was answered, but never ran", id)
	}
	return ""
}

// TestCutStreamIsNotWhole cuts an answer whose length the caller cannot know.
func TestCutStreamIsNotWhole(t *testing.T) {
	e := newEntry(t, []*fake{newFake(t, cutsChunks)})
	if a := e.send(t, "POST", "/photo", ""); a.bodyErr == nil {
		t.Errorf("the caller took %q for a whole answer", a.body)
	}
}

func TestUnreachableIsNotRun(t *testing.T) {
	gone := newFake(t)
	gone.lis.Close()
	e := newEntry(t, []*fake{gone})
	a := e.send(t, "POST", "/x", "")
	if a.status != http.StatusServiceUnavailable || a.verdict(t) != verdict.NotRun || a.header.Get("Retry-After") == "" {
		t.Errorf("status %d, told %v, Retry-After %q", a.status, a.verdict(t), a.header.Get("Retry-After"))
	}
	up := newFake(t)
	e = newEntry(t, []*fake{gone, gone, up})
	if a := e.send(t, "POST", "/x", "", header.RequestID, "r1"); a.status != 200 || len(up.receipts()) != 1 {
		t.Errorf("status %d, ran %d times", a.status, len(up.receipts()))
	}
}

// TestDeadlineEndsTheWait tells the caller at once when the time is up, and the
// upstream by closing.
func TestDeadlineEndsTheWait(t *testing.T) {
	f := newFake(t, hangs)
	e := newEntry(t, []*fake{f})
	a := e.send(t, "POST", "/x", "", header.Deadline, "100")
	if a.status != http.StatusGatewayTimeout || a.verdict(t) != verdict.MayHaveRun {
		t.Errorf("status %d, told %v", a.status, a.verdict(t))
	}
	<-f.left
}

func TestCancellationReachesTheUpstream(t *testing.T) {
	f := newFake(t, hangs)
	e := newEntry(t, []*fake{f})
	ctx, cancel := context.WithCancel(t.Context())
	req, _ := http.NewRequestWithContext(ctx, "GET", e.url+"/x", nil)
	req.Header.Set(header.Service, "orders")
	done := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(req)
		done <- err
	}()
	for len(f.receipts()) == 0 {
		continue
	}
	cancel()
	<-f.left
	if <-done == nil {
		t.Error("a cancelled request was answered")
	}
}

func TestBadMarksAreRefused(t *testing.T) {
	f := newFake(t)
	e := newEntry(t, []*fake{f})
	for _, h := range [][]string{{header.Repeat, "often"}, {header.Deadline, "soon"}, {header.Deadline, "-5"}} {
		a := e.send(t, "POST", "/x", "", h...)
		if a.status != http.StatusBadRequest || a.verdict(t) != verdict.NotRun || !strings.Contains(a.body, h[1]) {
			t.Errorf("%v: status %d, told %v: %s", h, a.status, a.verdict(t), a.body)
		}
	}
	if a := e.send(t, "POST", "/x", "", header.Service, "nosuch"); a.status != http.StatusNotFound {
		t.Errorf("unknown service: status %d", a.status)
	}
	if n := len(f.receipts()); n != 0 {
		t.Errorf("%d refused requests ran", n)
	}
}

// TestServiceSettingOutranksTheMark keeps a caller from marking an order safe.
func TestServiceSettingOutranksTheMark(t *testing.T) {
	edit := tree.Edit{Path: "/services/orders", Key: tree.KeyRepeat, Value: tree.RepeatUnsafe}
	a, b := newFake(t, diesRead), newFake(t, diesRead)
	e := newEntry(t, []*fake{a, b}, edit)
	e.send(t, "GET", "/x", "", header.Repeat, "safe")
	if n := len(a.receipts()) + len(b.receipts()); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

func TestHeaders(t *testing.T) {
	f := newFake(t)
	e := newEntry(t, []*fake{f})
	e.send(t, "GET", "/p%2Fq?a=b", "", "Connection", "X-Hop", "X-Hop", "1", "X-End", "2", "Loomkeel-Secret", "3", header.Deadline, "4000")
	r := f.receipts()[0]
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

func TestStopNamesOthers(t *testing.T) {
	f := newFake(t)
	e := newEntry(t, []*fake{f})
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

// TestUploadArrivesWhole streams a body that is too large to be kept.
func TestUploadArrivesWhole(t *testing.T) {
	f := newFake(t)
	e := newEntry(t, []*fake{f})
	photo := strings.Repeat("0123456789abcdef", 100_000)
	if a := e.send(t, "POST", "/photo", photo); a.status != 200 || f.receipts()[0].body != photo {
		t.Errorf("status %d, %d bytes arrived", a.status, len(f.receipts()[0].body))
	}
}

// TestCutUploadIsNotRun breaks off an upload: the upstream must not take the
// part for the whole.
func TestCutUploadIsNotRun(t *testing.T) {
	f := newFake(t)
	e := newEntry(t, []*fake{f})
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
	if n := len(f.receipts()); n != 0 {
		t.Errorf("%d cut uploads were taken for whole", n)
	}
	for _, u := range e.Dump()["orders"].Upstreams {
		if u.Failures != 0 {
			t.Errorf("%d cut uploads count as failures of the upstream", u.Failures)
		}
	}
}

// TestTooLargeUpload refuses a body over the bound before it is sent, and cuts
// one whose length is not told.
func TestTooLargeUpload(t *testing.T) {
	f := newFake(t)
	e := newEntry(t, []*fake{f})
	e.opt.MaxBody = 1000
	a := e.send(t, "POST", "/photo", strings.Repeat("x", 5000))
	if a.status != http.StatusRequestEntityTooLarge || a.verdict(t) != verdict.MayHaveRun {
		t.Errorf("status %d, told %v", a.status, a.verdict(t))
	}
	req, _ := http.NewRequest("POST", e.url+"/photo", strings.NewReader(strings.Repeat("x", 5000)))
	req.Header.Set(header.Service, "orders")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusRequestEntityTooLarge || resp.Header.Get(verdict.Header) != "not-run" {
		t.Errorf("with its length told: status %d, %s", resp.StatusCode, resp.Header.Get(verdict.Header))
	}
	if n := len(f.receipts()); n != 0 {
		t.Errorf("%d ran", n)
	}
}
